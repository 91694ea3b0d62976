// Framing of messages.

#include "frame_stream.h"

#include <Poco/Exception.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "marjoramslip/runtime/frame_length.h"

namespace marjoramslip::forwarding {
namespace {

/// The kernel ends the connection if sent data is unacknowledged for this long.
constexpr int kTcpUserTimeoutMs = 3000;
/// The stream ends if the other instance takes no byte for this long.
constexpr duration kWriteStallTimeout = std::chrono::seconds(3);
/// Input that is larger than this is released once it has been handled.
constexpr std::size_t kKeptInputBytes = 64U << 10U;

Poco::Net::StreamSocket WithTimeout(Poco::Net::StreamSocket socket) {
  try {
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
  } catch (const Poco::Exception&) {
    // The connection is already gone; the next use of the socket reports it.
  }
  return socket;
}

}  // namespace

frame_stream::frame_stream(shell::event_loop& loop,
                           const Poco::Net::StreamSocket& socket,
                           frame_user& user)
    : user_(user),
      connection_(loop, WithTimeout(socket), kWriteStallTimeout, *this) {}

std::uint64_t frame_stream::Append(const forward::Message& message) {
  const std::size_t length = message.ByteSizeLong();
  std::string& out = connection_.Output();
  shell::AppendFrameLength(length, out);
  message.AppendToString(&out);
  return connection_.Position();
}

void frame_stream::Close() {
  ended_ = true;
  connection_.Close();
}

void frame_stream::OnBytes(std::span<const char> bytes) {
  user_.OnProgress();
  input_.append(bytes.data(), bytes.size());
  std::size_t handled = 0;
  const std::string_view all(input_);
  while (!ended_ && all.size() - handled >= shell::kFrameLengthBytes) {
    const std::size_t length = shell::ReadFrameLength(all.substr(handled));
    if (length > kMaxFrameBytes) {
      connection_.Close();
      return;
    }
    if (all.size() - handled - shell::kFrameLengthBytes < length) {
      break;
    }
    forward::Message message;
    if (!message.ParseFromArray(all.data() + handled + shell::kFrameLengthBytes,
                                static_cast<int>(length))) {
      connection_.Close();
      return;
    }
    handled += shell::kFrameLengthBytes + length;
    user_.OnMessage(message);
  }
  input_.erase(0, handled);
  if (input_.empty() && input_.capacity() > kKeptInputBytes) {
    input_.shrink_to_fit();
  }
}

void frame_stream::OnGone() {
  if (!ended_) {
    ended_ = true;
    user_.OnStreamEnded();
  }
}

}  // namespace marjoramslip::forwarding
