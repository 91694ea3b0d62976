// Tests of calls that are given up.

#include "marjoramslip/kv/http_channel.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/base/clock.h"
#include "story.h"

namespace marjoramslip::kv {
namespace {

using std::chrono::milliseconds;

/// How the sender ended a connection.
enum class connection_end { kClosed, kReset };

connection_end ReadToEnd(Poco::Net::StreamSocket& socket) {
  std::array<char, 1024> buffer{};
  try {
    while (socket.receiveBytes(buffer.data(), buffer.size()) > 0) {
    }
  } catch (const Poco::Net::ConnectionResetException&) {
    return connection_end::kReset;
  }
  return connection_end::kClosed;
}

}  // namespace

// Guards against a request that a partition holds and delivers once its sender
// has given it up.
Test(http_channel, a_request_that_is_given_up_is_not_delivered_later) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  http_channel channel({{"127.0.0.1", server.address().port()}},
                       milliseconds(100));
  const auto reply = Attempt(
      [&] { return channel.Post("/promote", "{}", request_effect::kWrites); });
  EXPECT(reply.Failed(error_kind::kUnknown));
  Poco::Net::StreamSocket accepted = server.acceptConnection();
  EXPECT(ReadToEnd(accepted) == connection_end::kReset);
}

Test(http_channel, a_request_that_is_too_late_is_not_sent) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  http_channel channel({{"127.0.0.1", server.address().port()}},
                       milliseconds(100));
  const auto reply = Attempt([&] {
    return channel.Call({.path = "/promote",
                         .body = "{}",
                         .send_until = BootTime() - milliseconds(1)},
                        request_effect::kWrites);
  });
  EXPECT(reply.Failed(error_kind::kUnavailable));
}

// Guards against the second one of two responses to a call that is taken for
// the response to the next call.
Test(http_channel, a_repeated_response_does_not_answer_the_next_call) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  const std::string second =
      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
  std::thread serving([&] {
    std::array<char, 1024> buffer{};
    Poco::Net::StreamSocket one = server.acceptConnection();
    one.receiveBytes(buffer.data(), buffer.size());
    const std::string twice = first + first;
    one.sendBytes(twice.data(), static_cast<int>(twice.size()));
    if (server.poll(Poco::Timespan(1, 0), Poco::Net::Socket::SELECT_READ)) {
      Poco::Net::StreamSocket other = server.acceptConnection();
      other.receiveBytes(buffer.data(), buffer.size());
      other.sendBytes(second.data(), static_cast<int>(second.size()));
    }
  });
  http_channel channel({{"127.0.0.1", server.address().port()}},
                       milliseconds(2000));
  const auto call = [&channel] {
    const auto reply = Attempt(
        [&] { return channel.Post("/call", "{}", request_effect::kReads); });
    return reply ? reply->body : "failed";
  };
  EXPECT(call() == "first");
  EXPECT(call() == "second");
  serving.join();
}

}  // namespace marjoramslip::kv
