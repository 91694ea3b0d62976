// What connections between instances send. A connection carries messages in one
// direction: the instance that connects sends. Both sides begin with their
// greeting; each message follows its length. A length of 0 is a heartbeat,
// which the receiving instance answers with one.

#ifndef MARJORAMSLIP_LIB_PEER_PEER_STREAM_H_
#define MARJORAMSLIP_LIB_PEER_PEER_STREAM_H_

#include <string_view>

namespace marjoramslip::peer {

/// Greetings name the protocol and its version. They differ, since a connection
/// to an unused port of the own machine may become one to itself.
inline constexpr std::string_view kSenderGreeting = "mjpeer1>";
inline constexpr std::string_view kReceiverGreeting = "mjpeer1<";

/// How addresses of instances begin.
inline constexpr std::string_view kPeerScheme = "tcp://";

}  // namespace marjoramslip::peer

#endif  // MARJORAMSLIP_LIB_PEER_PEER_STREAM_H_
