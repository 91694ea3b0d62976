// Messages with their lengths over a stream connection.

#ifndef MARJORAMSLIP_LIB_FORWARDING_FRAME_STREAM_H_
#define MARJORAMSLIP_LIB_FORWARDING_FRAME_STREAM_H_

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <span>
#include <string>

#include "forward.pb.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/runtime/stream_connection.h"

namespace marjoramslip::forwarding {

/// Largest message that is sent or accepted: an answer of many rows.
inline constexpr std::size_t kMaxFrameBytes = 16U << 20U;

/// Receives the messages of a stream.
class frame_user {
 public:
  virtual ~frame_user() = default;
  virtual void OnMessage(const forward::Message& message) = 0;
  /// Bytes have arrived, of whole messages or not.
  virtual void OnProgress() {}
  /// The stream has ended. Called once, and not after Close.
  virtual void OnStreamEnded() = 0;
};

/// Sends and receives messages. A message that is malformed or too long ends
/// the stream.
class frame_stream final : private shell::connection_user {
 public:
  frame_stream(shell::event_loop& loop, const Poco::Net::StreamSocket& socket,
               frame_user& user);

  /// Appends a message. Returns the position of its end in the stream. Flush or
  /// Schedule must follow.
  std::uint64_t Append(const forward::Message& message);
  /// Sends what the socket takes now. May end the stream.
  void Flush() { connection_.Flush(); }
  /// Sends once the socket is connected.
  void Schedule() { connection_.Schedule(); }
  /// Appends a message and sends what the socket takes now.
  void Send(const forward::Message& message) {
    Append(message);
    Flush();
  }
  /// Sends what was appended, ends the output, and closes once the other
  /// instance has closed its side or after a second. Messages that still arrive
  /// are dropped: closing with bytes unread would reset the connection, and
  /// with it what has not been received.
  void LingerAfterFlush() { connection_.LingerAfterFlush(); }
  /// Returns the number of bytes that the socket has taken.
  std::uint64_t SentBytes() const {
    return connection_.Position() - connection_.Pending();
  }
  /// Ends the stream at once, without a call of OnStreamEnded.
  void Close();
  bool Open() const { return connection_.Open(); }

 private:
  void OnBytes(std::span<const char> bytes) override;
  void OnRoom() override {}
  void OnGone() override;

  frame_user& user_;
  std::string input_;
  bool ended_ = false;
  shell::stream_connection connection_;
};

}  // namespace marjoramslip::forwarding

#endif  // MARJORAMSLIP_LIB_FORWARDING_FRAME_STREAM_H_
