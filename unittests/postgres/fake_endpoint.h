// An endpoint for tests: answers each query with prepared bytes.

#ifndef MARJORAMSLIP_UNITTESTS_SHELL_FAKE_ENDPOINT_H_
#define MARJORAMSLIP_UNITTESTS_SHELL_FAKE_ENDPOINT_H_

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "marjoramslip/wire/messages.h"

namespace marjoramslip::shell {

/// What to do with a query.
struct fake_answer {
  std::string bytes;
  bool silent = false;  ///< Never answers.
  bool hang_up = false;
};

/// Serves each connection on a thread until destroyed.
class fake_endpoint {
 public:
  using answerer = std::function<fake_answer(const std::string&)>;

  explicit fake_endpoint(answerer answer)
      : answer_(std::move(answer)),
        listener_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        acceptor_([this] { Accept(); }) {}
  ~fake_endpoint() {
    stopping_ = true;
    acceptor_.join();
    for (std::thread& one : threads_) {
      one.join();
    }
  }

  std::uint16_t Port() const { return listener_.address().port(); }
  std::vector<std::string> Queries() {
    const std::lock_guard lock(mutex_);
    return queries_;
  }
  std::string Options() {
    const std::lock_guard lock(mutex_);
    return options_;
  }

 private:
  void Accept() {
    while (!stopping_) {
      if (listener_.poll(Poco::Timespan(kPollMicroseconds),
                         Poco::Net::Socket::SELECT_READ)) {
        threads_.emplace_back(
            [this, socket = listener_.acceptConnection()] { Serve(socket); });
      }
    }
  }

  void Serve(Poco::Net::StreamSocket socket) {
    try {
      wire::frontend_decoder decoder(kMessageLimit);
      while (!stopping_) {
        if (!socket.poll(Poco::Timespan(kPollMicroseconds),
                         Poco::Net::Socket::SELECT_READ)) {
          continue;
        }
        char buffer[4096];
        const int count = socket.receiveBytes(buffer, sizeof(buffer));
        if (count <= 0) {
          return;
        }
        decoder.Feed({buffer, static_cast<std::size_t>(count)});
        if (!HandleAll(decoder, socket)) {
          return;
        }
      }
    } catch (const Poco::Exception&) {
      return;
    }
  }

  bool HandleAll(wire::frontend_decoder& decoder,
                 Poco::Net::StreamSocket& socket) {
    while (true) {
      auto next = decoder.Next();
      if (!next || !next.value()) {
        return static_cast<bool>(next);
      }
      if (!Handle(*next.value(), socket)) {
        return false;
      }
    }
  }

  bool Handle(const wire::frontend_message& message,
              Poco::Net::StreamSocket& socket) {
    std::string out;
    if (const auto* started = std::get_if<wire::startup>(&message)) {
      const std::lock_guard lock(mutex_);
      const auto found = started->parameters.find("options");
      options_ = found == started->parameters.end() ? "" : found->second;
      wire::AppendAuthenticationOk(out);
      wire::AppendParameterStatus(out, "group_state", "3/3/10/primary");
      wire::AppendReadyForQuery(out, wire::ready_status::kIdle);
    } else if (const auto* asked = std::get_if<wire::query>(&message)) {
      {
        const std::lock_guard lock(mutex_);
        queries_.push_back(asked->text);
      }
      const fake_answer answer = answer_(asked->text);
      if (answer.hang_up || answer.silent) {
        return !answer.hang_up;
      }
      out = answer.bytes;
    } else if (std::holds_alternative<wire::cancel_request>(message)) {
      return false;
    }
    if (!out.empty()) {
      socket.sendBytes(out.data(), static_cast<int>(out.size()));
    }
    return true;
  }

  static constexpr int kPollMicroseconds = 5000;
  static constexpr std::size_t kMessageLimit = 1U << 20U;

  answerer answer_;
  Poco::Net::ServerSocket listener_;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::vector<std::string> queries_;
  std::string options_;
  std::list<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_UNITTESTS_SHELL_FAKE_ENDPOINT_H_
