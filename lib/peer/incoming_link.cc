// Reads one connection within the bounds that its owner sets.

#include "incoming_link.h"

#include <string_view>
#include <utility>

#include "marjoramslip/runtime/frame_length.h"
#include "peer_stream.h"

namespace marjoramslip::peer {
namespace {

using shell::kFrameLengthBytes;

/// A stranger that reads no heartbeat for this long is disconnected.
constexpr duration kWriteStallTimeout = std::chrono::seconds(10);
/// Messages up to this size need no grant; nor do more bytes stay in the buffer
/// of a connection that has no grant, but for one read of 16 KiB.
constexpr std::size_t kSmallMessageBytes = 4U << 10U;

constexpr int ChecksIn(duration time) {
  return static_cast<int>(time / kLinkCheckInterval);
}
/// Instances send the greeting within a round trip.
constexpr int kGreetingChecks = ChecksIn(std::chrono::seconds(2));
/// Instances send a heartbeat at least every 30 s (link_table.cc).
constexpr int kSilentChecks = ChecksIn(std::chrono::seconds(120));
/// As message_timeout of callers: 1 MiB takes 0.9 s at 10 Mbit/s.
constexpr int kMessageChecks = ChecksIn(std::chrono::seconds(30));
/// While others wait for the room that a message has: instances end a
/// connection themselves after 3 s of silence, and 8 messages at once at 10
/// Mbit/s bring 76 KiB each in a check interval.
constexpr int kHoldingSilentChecks = ChecksIn(std::chrono::seconds(3));
constexpr std::size_t kHoldingBytesPerCheck = 32U << 10U;

}  // namespace

incoming_link::incoming_link(incoming_link_owner& owner, std::uint64_t number,
                             shell::event_loop& loop,
                             const Poco::Net::StreamSocket& socket)
    : owner_(owner),
      number_(number),
      connection_(loop, socket, kWriteStallTimeout, *this) {}

void incoming_link::OnBytes(std::span<const char> bytes) {
  silent_checks_ = 0;
  input_.append(bytes.data(), bytes.size());
  ReadMessages();
}

void incoming_link::Continue() {
  waits_ = false;
  ReadMessages();
}

bool incoming_link::ReadGreeting() {
  const std::string_view begun(input_);
  if (!kSenderGreeting.starts_with(begun.substr(0, kSenderGreeting.size()))) {
    connection_.Close();
    return false;
  }
  if (begun.size() < kSenderGreeting.size()) {
    return false;
  }
  greeted_ = true;
  input_.erase(0, kSenderGreeting.size());
  connection_.Output().append(kReceiverGreeting);
  connection_.Flush();
  return connection_.Open();
}

void incoming_link::ReadMessages() {
  if (!connection_.Open() || (!greeted_ && !ReadGreeting())) {
    return;
  }
  std::size_t handled = 0;
  bool heartbeat = false;
  while (connection_.Open() && input_.size() - handled >= kFrameLengthBytes) {
    const std::size_t length =
        shell::ReadFrameLength(std::string_view(input_).substr(handled));
    if (length == 0) {
      heartbeat = true;
    } else if (!TakeMessage(handled, length)) {
      break;
    }
    handled += kFrameLengthBytes + length;
    message_checks_ = 0;
  }
  if (!connection_.Open()) {
    return;
  }
  input_.erase(0, handled);
  if (input_.empty() && input_.capacity() > kSmallMessageBytes) {
    input_.shrink_to_fit();
  }
  connection_.SetReading(!waits_);
  if (heartbeat) {
    SendHeartbeat();
  }
}

bool incoming_link::TakeMessage(std::size_t offset, std::size_t length) {
  if (length > owner_.MaxMessageBytes()) {
    connection_.Close();
    return false;
  }
  const std::size_t end = offset + kFrameLengthBytes + length;
  if (input_.size() < end) {
    if (length > kSmallMessageBytes && granted_bytes_ == 0) {
      waits_ = !owner_.Grant(*this, length);
      granted_bytes_ = waits_ ? 0 : length;
    }
    return false;
  }
  if (!owner_.MayHandOver(*this)) {
    waits_ = true;
    return false;
  }
  EndGrant();
  owner_.HandOver(*this, std::span<const char>(input_).subspan(
                             offset + kFrameLengthBytes, length));
  return true;
}

void incoming_link::EndGrant() {
  if (granted_bytes_ != 0) {
    owner_.EndGrant(std::exchange(granted_bytes_, 0));
  }
}

void incoming_link::SendHeartbeat() {
  // One that waits says the same as several.
  if (connection_.Open() && connection_.Pending() == 0) {
    shell::AppendFrameLength(0, connection_.Output());
    connection_.Flush();
  }
}

void incoming_link::Check() {
  if (greeted_ && !input_.empty()) {
    // Its heartbeats may stand behind a message that arrives or waits here.
    SendHeartbeat();
  }
  if (waits_) {
    return;
  }
  ++silent_checks_;
  message_checks_ = input_.empty() ? 0 : message_checks_ + 1;
  if (IsOverdue()) {
    connection_.Close();
  }
}

bool incoming_link::IsOverdue() const {
  if (!greeted_) {
    return silent_checks_ > kGreetingChecks ||
           message_checks_ > kGreetingChecks;
  }
  if (silent_checks_ > kSilentChecks || message_checks_ > kMessageChecks) {
    return true;
  }
  if (granted_bytes_ == 0 || !owner_.OthersWait()) {
    return false;
  }
  const int counted = message_checks_ - kHoldingSilentChecks;
  return silent_checks_ > kHoldingSilentChecks ||
         (counted > 0 && input_.size() < static_cast<std::size_t>(counted) *
                                             kHoldingBytesPerCheck);
}

void incoming_link::OnGone() {
  EndGrant();
  owner_.OnEnded(*this);
}

}  // namespace marjoramslip::peer
