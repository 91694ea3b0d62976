// Sends to one instance within the bounds of its queue.

#include "outgoing_link.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "marjoramslip/runtime/frame_length.h"
#include "peer_stream.h"

namespace marjoramslip::peer {
namespace {

constexpr std::size_t kMaxQueuedMessages = 1000;
constexpr duration kFirstRetryDelay = std::chrono::milliseconds(50);
constexpr duration kLongestRetryDelay = std::chrono::seconds(1);
constexpr duration kConnectTimeout = std::chrono::seconds(1);
/// From the beginning of the connection to the other instance's greeting.
constexpr duration kGreetingTimeout = std::chrono::seconds(3);
/// The other instance does not read while its handlers are behind.
constexpr duration kWriteStallTimeout = std::chrono::seconds(10);
/// Messages are handed to the connection up to this many unsent bytes; the
/// others stay in the queue.
constexpr std::size_t kUnsentBytes = 64U << 10U;

}  // namespace

outgoing_link::outgoing_link(shell::event_loop& loop, std::string address,
                             const outgoing_link_options& options,
                             queue_account& account)
    : loop_(loop),
      address_(std::move(address)),
      options_(options),
      account_(account),
      retry_delay_(kFirstRetryDelay),
      self_(std::make_shared<outgoing_link*>(this)) {
  Connect();
}

outgoing_link::~outgoing_link() { Drop(); }

void outgoing_link::CallAfter(duration delay, void (outgoing_link::*check)()) {
  loop_.After(delay, [weak = std::weak_ptr(self_), attempt = attempt_, check] {
    const auto self = weak.lock();
    if (self && (*self)->attempt_ == attempt) {
      ((*self)->*check)();
    }
  });
}

void outgoing_link::Connect() {
  ++attempt_;
  greeting_.clear();
  connected_ = false;
  heartbeat_unanswered_ = false;
  Poco::Net::StreamSocket socket;
  try {
    // An address that is a name is resolved anew for each connection.
    socket.connectNB(Poco::Net::SocketAddress(address_));
  } catch (const Poco::Exception&) {
    ConnectLater();
    return;
  }
  shell::connection_user& user = *this;
  connection_ = std::make_unique<shell::stream_connection>(
      loop_, socket, kWriteStallTimeout, user);
  connection_->Output().append(kSenderGreeting);
  connection_->Schedule();
  CallAfter(kConnectTimeout, &outgoing_link::EndUnlessConnected);
  CallAfter(kGreetingTimeout, &outgoing_link::EndUnlessReady);
}

void outgoing_link::ConnectLater() {
  CallAfter(retry_delay_, &outgoing_link::Connect);
  retry_delay_ = std::min(2 * retry_delay_, kLongestRetryDelay);
}

void outgoing_link::EndUnlessConnected() {
  if (!connected_) {
    connection_->Close();
  }
}

void outgoing_link::EndUnlessReady() {
  if (!ready_) {
    connection_->Close();
  }
}

void outgoing_link::Send(const shared_bytes& message) {
  if (!ready_ && !options_.queues_while_unconnected) {
    return;
  }
  const std::size_t bytes = message->size();
  const bool fits = queued_bytes_ + bytes <= options_.max_queued_bytes &&
                    account_.bytes + bytes <= account_.limit &&
                    queue_.size() < kMaxQueuedMessages;
  if (!fits && !queue_.empty()) {
    return;
  }
  queue_.push_back(message);
  queued_bytes_ += bytes;
  account_.bytes += bytes;
  Pump();
}

void outgoing_link::Pump() {
  if (!ready_) {
    return;
  }
  do {
    while (!queue_.empty() && connection_->Pending() < kUnsentBytes) {
      const shared_bytes message = std::move(queue_.front());
      queue_.pop_front();
      queued_bytes_ -= message->size();
      account_.bytes -= message->size();
      shell::AppendFrameLength(message->size(), connection_->Output());
      connection_->Output().append(*message);
    }
    connection_->Flush();
  } while (ready_ && !queue_.empty() && connection_->Pending() == 0);
}

void outgoing_link::Drop() {
  account_.bytes -= std::exchange(queued_bytes_, 0);
  queue_.clear();
}

void outgoing_link::OnBytes(std::span<const char> bytes) {
  heartbeat_unanswered_ = false;
  const std::string_view arrived(bytes.data(), bytes.size());
  const std::string_view greeting =
      arrived.substr(0, kReceiverGreeting.size() - greeting_.size());
  greeting_.append(greeting);
  // Nothing but heartbeats, which are zeros, follows the greeting.
  const bool valid = kReceiverGreeting.starts_with(greeting_) &&
                     arrived.find_first_not_of('\0', greeting.size()) ==
                         std::string_view::npos;
  if (!valid) {
    connection_->Close();
    return;
  }
  if (!ready_ && greeting_.size() == kReceiverGreeting.size()) {
    ready_ = true;
    retry_delay_ = kFirstRetryDelay;
    CallAfter(options_.heartbeat_interval, &outgoing_link::CheckHeartbeat);
    Pump();
  }
}

void outgoing_link::OnRoom() {
  connected_ = true;
  // The other instance has taken bytes.
  heartbeat_unanswered_ = false;
  Pump();
}

void outgoing_link::OnGone() {
  ready_ = false;
  if (!options_.queues_while_unconnected) {
    Drop();
  }
  ConnectLater();
}

void outgoing_link::CheckHeartbeat() {
  const instant now = loop_.Now();
  if (heartbeat_unanswered_ &&
      now - heartbeat_at_ >= options_.heartbeat_timeout) {
    connection_->Close();
    return;
  }
  if (!heartbeat_unanswered_) {
    heartbeat_unanswered_ = true;
    heartbeat_at_ = now;
    if (connection_->Pending() == 0) {
      shell::AppendFrameLength(0, connection_->Output());
      connection_->Flush();
    }
  }
  if (ready_) {
    CallAfter(options_.heartbeat_interval, &outgoing_link::CheckHeartbeat);
  }
}

}  // namespace marjoramslip::peer
