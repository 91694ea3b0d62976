// Protobuf encoding of the messages between instances.

#ifndef MARJORAMSLIP_PEER_PEER_CODEC_H_
#define MARJORAMSLIP_PEER_PEER_CODEC_H_

#include <span>
#include <string>

#include "marjoramslip/base/ids.h"
#include "marjoramslip/base/result.h"
#include "marjoramslip/core/peer_messages.h"

namespace marjoramslip::peer {

/// A message with its sender and routing information.
struct envelope {
  instance_id from;
  peer_message message;
  /// The receiver forwards it to the instances of its own failure domain.
  bool relay = false;
  /// The address the sender listens on, "tcp://host:port"; empty if unknown.
  std::string reply_to = {};
};

/// Encodes an envelope as protobuf.
std::string Encode(const envelope& value);

/// Decodes an envelope. Fails with kInvalid if it is malformed or of an unknown
/// kind.
result<envelope> Decode(std::span<const char> bytes);

}  // namespace marjoramslip::peer

#endif  // MARJORAMSLIP_PEER_PEER_CODEC_H_
