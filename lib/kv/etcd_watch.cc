// Receives a stream of changes and reconnects when a connection ends.

#include "etcd_watch.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <utility>

#include "etcd_messages.h"
#include "marjoramslip/base/attempt.h"

namespace marjoramslip::kv {
namespace {

constexpr duration kMinBackoff = std::chrono::milliseconds(20);
constexpr duration kMaxBackoff = std::chrono::seconds(2);

}  // namespace

etcd_watch::etcd_watch(watch_config config)
    : config_(std::move(config)), thread_([this] { Run(); }) {}

etcd_watch::~etcd_watch() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    try {
      if (socket_) {
        socket_->shutdown();
      }
    } catch (const Poco::Exception&) {
      // The connection is already closed.
    }
  }
  wake_.notify_all();
  thread_.join();
}

void etcd_watch::Run() {
  duration backoff = kMinBackoff;
  std::size_t address_index = 0;
  while (!IsStopping()) {
    const bool received_message = RunConnection(
        config_.addresses[address_index % config_.addresses.size()]);
    if (received_message) {
      backoff = kMinBackoff;
    } else {
      ++address_index;
      backoff = std::min(backoff * 2, kMaxBackoff);
    }
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, backoff, [this] { return stopping_; });
  }
}

bool etcd_watch::RunConnection(const http_address& address) {
  bool received_message = false;
  try {
    http_session session(address);
    session.Connect(config_.connect_timeout);
    if (RegisterSocket(session.socket())) {
      session.SetIoTimeout(config_.idle_timeout);
      session.Send(
          {.path = "/v3/watch",
           .body = etcd::WatchRequest(config_.prefix, config_.revision)});
      Poco::Net::HTTPResponse response;
      std::istream& in = session.receiveResponse(response);
      received_message =
          response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK &&
          ProcessStream(in);
    }
  } catch (const std::exception&) {
    // Any failure of the connection is handled by reconnecting.
  }
  const std::lock_guard lock(mutex_);
  socket_.reset();
  return received_message;
}

bool etcd_watch::ProcessStream(std::istream& in) {
  bool received_message = false;
  std::string line;
  while (!IsStopping() && std::getline(in, line)) {
    if (line.empty()) {
      continue;
    }
    if (!ProcessMessage(line)) {
      return received_message;
    }
    received_message = true;
  }
  return received_message;
}

bool etcd_watch::ProcessMessage(const std::string& line) {
  const auto answer = Attempt([&] { return etcd::ParseWatch(line); });
  if (!answer) {
    return false;
  }
  if (answer->oldest_revision != 0) {
    config_.revision = std::max(config_.revision, answer->oldest_revision);
    config_.on_reset();
    return false;
  }
  if (answer->created_at_revision != 0 &&
      answer->created_at_revision + 1 < config_.revision) {
    // The store was restored from older data, so the changes since are unknown.
    config_.revision = answer->created_at_revision + 1;
    config_.on_reset();
    return false;
  }
  for (const change& reported : answer->changes) {
    if (IsStopping()) {
      return false;
    }
    if (reported.current_entry.mod_revision >= config_.revision) {
      config_.on_change(reported);
    }
  }
  if (!answer->changes.empty()) {
    const std::uint64_t newest =
        answer->changes.back().current_entry.mod_revision;
    config_.revision = std::max(config_.revision, newest + 1);
  }
  return !answer->canceled;
}

bool etcd_watch::IsStopping() {
  const std::lock_guard lock(mutex_);
  return stopping_;
}

bool etcd_watch::RegisterSocket(const Poco::Net::StreamSocket& socket) {
  const std::lock_guard lock(mutex_);
  if (stopping_) {
    return false;
  }
  socket_ = socket;
  return true;
}

}  // namespace marjoramslip::kv
