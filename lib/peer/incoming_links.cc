// Shares descriptors and memory between the connections of senders.

#include "incoming_links.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "decoding_cost.h"

namespace marjoramslip::peer {
namespace {

/// Descriptors that connections of peers leave to the rest of the process, as a
/// part of its limit; callers leave more.
constexpr rlim_t kReservedPart = 8;
/// Above the connections of 2,400 instances in 20 failure domains, some 250 to
/// each, and of 84 that all connect again before their former connections end.
constexpr std::size_t kMaxLinks = 1024;
/// Messages of one connection whose handlers have not run; more wait at the
/// sender, which queues 1,000.
constexpr std::size_t kMaxUnhandledMessages = 8;
/// Memory of all messages whose handlers have not run, by their decoding cost.
/// One more message may exceed it.
constexpr std::size_t kMaxUnhandledBytes = 8U << 20U;
/// Bytes of all messages that have not arrived whole; at least one message of
/// the greatest size fits.
constexpr std::size_t kMaxGrantedBytes = 8U << 20U;

/// Messages above this cost are catalogues, of which few arrive, or strangers'.
/// Their many small parts stay with the allocator until it is told to return
/// freed memory, which takes some milliseconds for 100 MB.
constexpr std::size_t kTrimmedCost = 1U << 20U;
constexpr duration kTrimDelay = std::chrono::milliseconds(500);

bool LeavesDescriptors(int descriptor) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return true;
  }
  // The system gives the lowest free descriptor, so that at least `descriptor`
  // others are in use.
  return static_cast<rlim_t>(descriptor) <
         limit.rlim_cur - limit.rlim_cur / kReservedPart;
}

}  // namespace

incoming_links::incoming_links(shell::event_loop& loop,
                               const Poco::Net::ServerSocket& socket,
                               std::size_t max_message_bytes, taker take)
    : loop_(loop),
      max_message_bytes_(max_message_bytes),
      grant_limit_(std::max(kMaxGrantedBytes, max_message_bytes)),
      take_(std::move(take)),
      receipts_(
          std::make_shared<receipts>(loop, [this] { CollectReceipts(); })),
      acceptor_(loop, socket, [this](const Poco::Net::StreamSocket& accepted) {
        Accept(accepted);
      }) {}

incoming_links::~incoming_links() { receipts_->Detach(); }

void incoming_links::Accept(const Poco::Net::StreamSocket& socket) {
  if (links_.size() >= kMaxLinks ||
      !LeavesDescriptors(socket.impl()->sockfd())) {
    return;
  }
  const std::uint64_t number = ++last_number_;
  incoming_link_owner& owner = *this;
  links_.emplace(number,
                 std::make_unique<incoming_link>(owner, number, loop_, socket));
  if (!std::exchange(supervising_, true)) {
    loop_.After(kLinkCheckInterval, [this] { Supervise(); });
  }
}

void incoming_links::Supervise() {
  std::vector<incoming_link*> all;
  all.reserve(links_.size());
  for (const auto& [number, link] : links_) {
    all.push_back(link.get());
  }
  // Links that end are destroyed in a later turn.
  for (incoming_link* const link : all) {
    link->Check();
  }
  supervising_ = !links_.empty();
  if (supervising_) {
    loop_.After(kLinkCheckInterval, [this] { Supervise(); });
  }
}

bool incoming_links::MayHandOver(incoming_link& link) {
  const auto has_room = [this, &link] {
    return link.unhandled < kMaxUnhandledMessages &&
           unhandled_bytes_ < kMaxUnhandledBytes;
  };
  if (!has_room()) {
    ApplyReceipts();
  }
  if (has_room()) {
    return true;
  }
  handler_waiters_.push_back(link.Number());
  receipts_->RequestWake();
  return false;
}

void incoming_links::HandOver(incoming_link& link,
                              std::span<const char> bytes) {
  const auto cost = DecodingCost(bytes);
  if (!cost.has_value()) {
    return;
  }
  ++link.unhandled;
  unhandled_bytes_ += *cost;
  take_(bytes, [receipts = receipts_, number = link.Number(), size = *cost] {
    receipts->OnHandled(number, size);
  });
  if (*cost >= kTrimmedCost && !std::exchange(trim_due_, true)) {
    loop_.After(kTrimDelay, [this] {
      trim_due_ = false;
      malloc_trim(0);
    });
  }
}

void incoming_links::ApplyReceipts() {
  const handled_messages handled = receipts_->Take();
  unhandled_bytes_ -= handled.bytes;
  for (const auto& [number, count] : handled.by_link) {
    const auto found = links_.find(number);
    if (found != links_.end()) {
      found->second->unhandled -= count;
    }
  }
}

void incoming_links::CollectReceipts() {
  ApplyReceipts();
  for (const std::uint64_t number : std::exchange(handler_waiters_, {})) {
    const auto found = links_.find(number);
    if (found != links_.end()) {
      found->second->Continue();
    }
  }
}

bool incoming_links::Grant(incoming_link& link, std::size_t bytes) {
  const bool is_first =
      grant_waiters_.empty() || grant_waiters_.front() == link.Number();
  const bool has_room =
      granted_bytes_ == 0 || granted_bytes_ + bytes <= grant_limit_;
  if (is_first && has_room) {
    if (!grant_waiters_.empty()) {
      grant_waiters_.pop_front();
      ScheduleGrants();
    }
    granted_bytes_ += bytes;
    return true;
  }
  if (std::ranges::find(grant_waiters_, link.Number()) ==
      grant_waiters_.end()) {
    grant_waiters_.push_back(link.Number());
  }
  return false;
}

void incoming_links::EndGrant(std::size_t bytes) {
  granted_bytes_ -= bytes;
  ScheduleGrants();
}

void incoming_links::ScheduleGrants() {
  if (!grant_waiters_.empty() && !std::exchange(serving_waiters_, true)) {
    loop_.After(duration{0}, [this] { ServeGrantWaiters(); });
  }
}

void incoming_links::ServeGrantWaiters() {
  serving_waiters_ = false;
  while (!grant_waiters_.empty()) {
    const std::uint64_t first = grant_waiters_.front();
    const auto found = links_.find(first);
    if (found == links_.end()) {
      grant_waiters_.pop_front();
      continue;
    }
    found->second->Continue();
    if (!grant_waiters_.empty() && grant_waiters_.front() == first) {
      return;
    }
  }
}

void incoming_links::OnEnded(incoming_link& link) {
  auto node = links_.extract(link.Number());
  if (node.empty()) {
    return;
  }
  if (ended_links_.empty()) {
    loop_.After(duration{0}, [this] { ended_links_.clear(); });
  }
  ended_links_.push_back(std::move(node.mapped()));
  ScheduleGrants();
}

}  // namespace marjoramslip::peer
