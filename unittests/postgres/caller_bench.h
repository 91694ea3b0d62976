// A loop with virtual time over real sockets, and a caller that speaks the
// protocol, for tests of the caller front.

#ifndef MARJORAMSLIP_UNITTESTS_SHELL_CALLER_BENCH_H_
#define MARJORAMSLIP_UNITTESTS_SHELL_CALLER_BENCH_H_

#include <Poco/Net/StreamSocket.h>
#include <poll.h>

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "marjoramslip/runtime/event_loop.h"

namespace marjoramslip::shell {

/// Polls when told to; time moves when told to.
class bench_loop : public event_loop {
 public:
  void Add(const Poco::Net::Socket& socket, socket_handler* handler,
           bool readable, bool writable) override {
    if (watched_.empty() && first_port_ == 0) {
      first_port_ = socket.address().port();
    }
    watched_.insert_or_assign(socket.impl()->sockfd(),
                              watch{handler, readable, writable});
  }
  void Update(const Poco::Net::Socket& socket, bool readable,
              bool writable) override {
    watch& entry = watched_.at(socket.impl()->sockfd());
    entry.readable = readable;
    entry.writable = writable;
  }
  void Remove(const Poco::Net::Socket& socket) override {
    watched_.erase(socket.impl()->sockfd());
  }
  void After(duration delay, std::function<void()> task) override {
    timers_.emplace(now_ + delay, std::move(task));
  }
  void PostFromThread(std::function<void()> task) override { task(); }
  instant Now() const override { return now_; }
  void Post(event what) override {
    fresh_.push_back(what);
    posted_.push_back(std::move(what));
  }
  /// Is shown each event between callbacks, as the core is.
  void SetWatcher(std::function<void(const event&)> watcher) {
    watcher_ = std::move(watcher);
  }

  /// Handles what is ready now; waits a little if nothing is.
  void Turn() {
    std::vector<pollfd> ready;
    for (const auto& [socket, entry] : watched_) {
      const int events =
          (entry.readable ? POLLIN : 0) | (entry.writable ? POLLOUT : 0);
      ready.push_back({socket, static_cast<short>(events), 0});
    }
    poll(ready.data(), ready.size(), 1);
    for (const pollfd& each : ready) {
      Handle(each);
      ShowFresh();
    }
    RunTimers();
  }
  void Advance(duration by) {
    now_ += by;
    RunTimers();
  }

  /// Takes the first event of a kind that was posted; empty if there is none.
  template <typename kind>
  std::optional<kind> Take() {
    for (auto at = posted_.begin(); at != posted_.end(); ++at) {
      if (const kind* found = std::get_if<kind>(&*at)) {
        const kind out = *found;
        posted_.erase(at);
        return out;
      }
    }
    return std::nullopt;
  }
  /// Drops the events that were posted.
  void ForgetPosted() { posted_.clear(); }
  std::uint16_t FirstPort() const { return first_port_; }
  std::size_t Watched() const { return watched_.size(); }
  std::size_t Posted() const { return posted_.size(); }

 private:
  struct watch {
    socket_handler* handler = nullptr;
    bool readable = false;
    bool writable = false;
  };

  void Handle(const pollfd& ready) {
    const auto found = watched_.find(ready.fd);
    if (found == watched_.end() || ready.revents == 0) {
      return;
    }
    socket_handler* handler = found->second.handler;
    if ((ready.revents & POLLIN) != 0) {
      handler->OnReadable();
    } else if ((ready.revents & (POLLERR | POLLHUP)) != 0) {
      handler->OnSocketError();
    }
    if ((ready.revents & POLLOUT) != 0 && watched_.contains(ready.fd)) {
      handler->OnWritable();
    }
  }
  void ShowFresh() {
    for (const event& each : std::exchange(fresh_, {})) {
      if (watcher_) {
        watcher_(each);
      }
    }
  }
  void RunTimers() {
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      const auto task = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      task();
    }
  }

  std::map<int, watch> watched_;
  std::multimap<instant, std::function<void()>> timers_;
  std::vector<event> posted_;
  std::vector<event> fresh_;
  std::function<void(const event&)> watcher_;
  instant now_{std::chrono::seconds(1000)};
  std::uint16_t first_port_ = 0;
};

/// Big-endian, as the protocol has it.
inline std::string Number(std::uint32_t value) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>(value >> static_cast<unsigned>(shift)));
  }
  return out;
}

inline std::string Text(const std::string& text) { return text + '\0'; }

inline std::string Typed(char type, const std::string& body) {
  return type + Number(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

inline std::string Query(const std::string& text) {
  return Typed('Q', Text(text));
}

inline std::string Untyped(std::uint32_t code, const std::string& body) {
  return Number(static_cast<std::uint32_t>(body.size() + 8)) + Number(code) +
         body;
}

inline std::string Startup(
    const std::vector<std::pair<std::string, std::string>>& parameters) {
  std::string body;
  for (const auto& [name, value] : parameters) {
    body += Text(name) + Text(value);
  }
  return Untyped(196608, body + '\0');
}

/// One caller's side of a connection.
class bench_caller {
 public:
  explicit bench_caller(bench_loop& loop)
      : loop_(loop),
        socket_(Poco::Net::SocketAddress("127.0.0.1", loop.FirstPort())) {
    socket_.setBlocking(false);
    // Pieces of a message arrive one by one.
    socket_.setNoDelay(true);
  }

  void Send(const std::string& bytes) {
    socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }
  /// Sends what the socket takes of `bytes` from `first` on; its length.
  std::size_t SendSome(const std::string& bytes, std::size_t first) {
    try {
      const int count = socket_.sendBytes(
          bytes.data() + first, static_cast<int>(bytes.size() - first));
      return count > 0 ? static_cast<std::size_t>(count) : 0;
    } catch (const Poco::Exception&) {
      return 0;  // It takes nothing now.
    }
  }
  void Shut() { socket_.close(); }

  /// Turns the loop and gives the bytes that come while it is not idle.
  std::string Receive() {
    std::string out;
    for (int idle = 0; idle < kIdleTurns; ++idle) {
      loop_.Turn();
      const std::size_t before = out.size();
      ReadInto(out);
      idle = out.size() > before ? 0 : idle;
    }
    return out;
  }
  /// Sends a text and gives what comes, as "TYPE(content)..." .
  std::string Ask(const std::string& text) {
    Send(Query(text));
    return Words(Receive());
  }
  bool Closed() const { return closed_; }

  /// Messages in words: type and readable content, NULs as commas.
  static std::string Words(std::string_view bytes) {
    std::string out;
    while (bytes.size() >= 5) {
      std::size_t length = 0;
      for (std::size_t i = 1; i < 5; ++i) {
        length = (length << 8U) | static_cast<unsigned char>(bytes[i]);
      }
      std::string body(bytes.substr(5, length - 4));
      for (char& c : body) {
        c = c < ' ' ? ',' : c;
      }
      out += std::string(1, bytes[0]) + "(" + body + ")";
      bytes.remove_prefix(std::min(bytes.size(), 1 + length));
    }
    return out + std::string(bytes);
  }

 private:
  static constexpr int kIdleTurns = 5;

  void ReadInto(std::string& out) {
    char bytes[4096];
    int count = 1;
    while (!closed_ && count > 0) {
      try {
        count = socket_.receiveBytes(bytes, sizeof(bytes));
        closed_ = count == 0;
      } catch (const Poco::Exception&) {
        closed_ = true;
        return;
      }
      out.append(bytes, count > 0 ? static_cast<std::size_t>(count) : 0);
    }
  }

  bench_loop& loop_;
  Poco::Net::StreamSocket socket_;
  bool closed_ = false;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_UNITTESTS_SHELL_CALLER_BENCH_H_
