// The etcd store: requests, parsing of answers, errors after lost answers, and
// watches.

#include "marjoramslip/kv/etcd_store.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NumberFormatter.h>

#include <algorithm>
#include <condition_variable>
#include <csignal>

#include "etcd_messages.h"
#include "fake_gateway.h"
#include "marjoramslip/base/attempt.h"
#include "marjoramslip/kv/http_channel.h"
#include "story.h"

namespace marjoramslip::kv {
namespace {

using std::chrono::milliseconds;

std::unique_ptr<key_value_store> StoreAt(std::vector<std::string> addresses) {
  std::signal(SIGPIPE, SIG_IGN);
  etcd_options options;
  options.addresses = std::move(addresses);
  options.deadline = milliseconds(300);
  options.watch_idle_timeout = milliseconds(200);
  return MakeEtcdStore(options).value();
}

/// Returns an address on which nothing listens.
std::string UnusedAddress() {
  const Poco::Net::ServerSocket socket(
      Poco::Net::SocketAddress("127.0.0.1", 0));
  return "http://127.0.0.1:" + std::to_string(socket.address().port());
}

template <typename callable>
error_kind ErrorKindOf(callable work) {
  const auto done = Attempt(work);
  return done ? error_kind::kInternal : done.failure.kind;
}

/// Collects the events of a watch.
class event_collector {
 public:
  void Add(std::string item) {
    const std::lock_guard lock(mutex_);
    items_.push_back(std::move(item));
    wake_.notify_all();
  }
  /// Waits up to 5 s for `count` items and returns all items so far.
  std::vector<std::string> Await(std::size_t count) {
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, std::chrono::seconds(5),
                   [&] { return items_.size() >= count; });
    return items_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<std::string> items_;
};

}  // namespace

Test(etcd_store, bytes_and_prefixes_are_encoded) {
  for (const std::string& bytes :
       {std::string(), std::string("a"), std::string("\0\xff\n", 3),
        std::string(1000, 'x')}) {
    EXPECT(DecodeBase64(EncodeBase64(bytes)).value() == bytes);
  }
  EXPECT(EncodeBase64("foo") == "Zm9v");
  EXPECT(etcd::PrefixEnd("/a/") == "/a0");
  EXPECT(etcd::PrefixEnd("a\xff") == "b");
  EXPECT(etcd::PrefixEnd("\xff") == std::string(1, '\0'));
}

Test(etcd_store, ranges_are_read) {
  fake_gateway gateway([](const std::string&, const std::string&) {
    return fake_reply{200,
                      R"({"header":{"revision":"9"},"kvs":[{"key":"Zm9v",
                        "create_revision":"3","mod_revision":"7",
                        "value":"YmFy"},{"key":"Zm9vMg==",
                        "mod_revision":"8"}],"count":"2"})"};
  });
  const auto store = StoreAt({gateway.Address()});
  const auto found = store->Range("foo", false).value();
  REQUIRE(found.entries.size() == 2);
  EXPECT(found.revision == 9);
  EXPECT(found.entries[0].value == "bar");
  EXPECT(found.entries[0].create_revision == 3);
  EXPECT(found.entries[1].key == "foo2" && found.entries[1].value.empty());
  EXPECT(store->Range("foo", true).has_value());
  const auto requests = gateway.Requests();
  EXPECT(requests[0] == R"(/v3/kv/range {"key":"Zm9v","range_end":"Zm9w"})");
  EXPECT(requests[1] == R"(/v3/kv/range {"key":"Zm9v"})");
}

Test(etcd_store, transactions_are_conditional) {
  bool succeeded = true;
  fake_gateway gateway([&](const std::string&, const std::string&) {
    return fake_reply{
        200, succeeded ? R"({"header":{"revision":"12"},"succeeded":true})"
                       : R"({"header":{"revision":"12"}})"};
  });
  const auto store = StoreAt({gateway.Address()});
  EXPECT(store->Transact({{"k", 5}}, {{"k", "v", false, 9}, {"d", "", true, 0}})
             .value() == 12);
  succeeded = false;
  EXPECT(ErrorKindOf([&] {
           return store->Transact({{"k", 0}}, {});
         }) == error_kind::kConflict);
  EXPECT(gateway.Requests()[0] ==
         R"(/v3/kv/txn {"compare":[{"key":"aw==","target":"MOD",)"
         R"("result":"EQUAL","mod_revision":"5"}],"success":[{"request_put":)"
         R"({"key":"aw==","value":"dg==","lease":"9"}},)"
         R"({"request_delete_range":{"key":"ZA=="}}]})");
}

Test(etcd_store, leases_are_granted_renewed_and_revoked) {
  fake_gateway gateway([](const std::string& path, const std::string& body) {
    if (path == "/v3/lease/grant") {
      return fake_reply{200, R"({"ID":"77","TTL":"5"})"};
    }
    if (path == "/v3/lease/revoke") {
      return fake_reply{404, R"({"message":"lease not found"})"};
    }
    return fake_reply{200, body.find("77") != std::string::npos
                               ? R"({"result":{"ID":"77","TTL":"5"}})"
                               : R"({"result":{"ID":"78"}})"};
  });
  const auto store = StoreAt({gateway.Address()});
  EXPECT(store->GrantLease(std::chrono::seconds(5)).value() == 77);
  EXPECT(bool(store->KeepAlive(77)));
  EXPECT(ErrorKindOf([&] { return store->KeepAlive(78); }) ==
         error_kind::kConflict);
  EXPECT(bool(store->RevokeLease(77)));
}

Test(etcd_store, errors_tell_whether_a_write_may_have_happened) {
  fake_reply reply;
  fake_gateway gateway(
      [&](const std::string&, const std::string&) { return reply; });
  const auto write = [](key_value_store& store) {
    return ErrorKindOf([&] {
      return store.Transact({}, {{"k", "v", false, 0}});
    });
  };
  const auto read = [](key_value_store& store) {
    return ErrorKindOf([&] { return store.Range("k", true); });
  };
  SECTION("nothing listens") {
    const auto store = StoreAt({UnusedAddress(), UnusedAddress()});
    EXPECT(write(*store) == error_kind::kUnavailable);
    EXPECT(read(*store) == error_kind::kUnavailable);
  }
  const auto store = StoreAt({gateway.Address()});
  SECTION("the connection closes without an answer") {
    reply.drop = true;
    EXPECT(write(*store) == error_kind::kUnknown);
    EXPECT(read(*store) == error_kind::kUnavailable);
  }
  SECTION("the answer misses the deadline") {
    reply = {200, R"({"header":{"revision":"1"},"succeeded":true})"};
    reply.delay = milliseconds(600);
    const auto start = std::chrono::steady_clock::now();
    EXPECT(write(*store) == error_kind::kUnknown);
    EXPECT(std::chrono::steady_clock::now() - start < milliseconds(550));
  }
  SECTION("the answer is malformed") {
    reply = {200, "{\"header\":"};
    EXPECT(write(*store) == error_kind::kUnknown);
    EXPECT(read(*store) == error_kind::kUnavailable);
  }
  SECTION("the service answers with an error status") {
    reply = {503, "no leader"};
    EXPECT(write(*store) == error_kind::kUnknown);
    EXPECT(read(*store) == error_kind::kUnavailable);
    reply = {400, "malformed"};
    EXPECT(write(*store) == error_kind::kInvalid);
  }
}

Test(etcd_store, the_next_address_is_used_after_a_failure) {
  fake_gateway gateway([](const std::string&, const std::string&) {
    return fake_reply{200, R"({"header":{"revision":"4"},"succeeded":true})"};
  });
  const auto store = StoreAt({UnusedAddress(), gateway.Address()});
  EXPECT(store->Transact({}, {}).value() == 4);
  EXPECT(store->Range("k", true).value().revision == 4);
  EXPECT(!MakeEtcdStore({}));
  EXPECT(!MakeEtcdStore({{"ftp://h:1"}}));
}

Test(etcd_store, a_closed_pooled_connection_is_replaced) {
  fake_reply reply{200, R"({"header":{"revision":"4"},"succeeded":true})"};
  auto gateway = std::make_unique<fake_gateway>(
      [&](const std::string&, const std::string&) { return reply; });
  const auto store = StoreAt({gateway->Address()});
  REQUIRE(store->Transact({}, {}).value() == 4);
  gateway.reset();
  // Nothing was sent over the closed connection, so the write had no effect.
  EXPECT(ErrorKindOf([&] { return store->Transact({}, {}); }) ==
         error_kind::kUnavailable);
}

Test(etcd_store, a_watch_resumes_over_new_connections) {
  std::atomic<int> connections = 0;
  fake_gateway gateway([&](const std::string&, const std::string&) {
    fake_reply reply;
    reply.chunked = true;
    switch (++connections) {
      case 1:
        reply.body =
            "{\"result\":{\"created\":true}}\n"
            "{\"result\":{\"events\":[{\"kv\":{\"key\":\"Zm9v\",\"value\":"
            "\"YmFy\",\"mod_revision\":\"5\"}}]}}\n";
        break;
      case 2:  // Repeats an event, then stays silent until the idle timeout.
        reply.body =
            "{\"result\":{\"events\":[{\"kv\":{\"key\":\"Zm9v\","
            "\"mod_revision\":\"5\"}},{\"type\":\"DELETE\",\"kv\":{\"key\":"
            "\"Zm9v\",\"mod_revision\":\"6\"}}]}}\n";
        reply.stay_open = milliseconds(500);
        break;
      default:
        reply.body =
            "{\"result\":{\"canceled\":true,\"compact_revision\":\"30\"}}\n";
        reply.stay_open = milliseconds(100);
    }
    return reply;
  });
  const auto store = StoreAt({gateway.Address()});
  event_collector seen;
  auto watch = store->Watch(
      "f", 5,
      [&](const change& reported) {
        seen.Add(reported.current_entry.key +
                 (reported.erased ? " erased" : reported.current_entry.value));
      },
      [&] { seen.Add("reset"); });
  const auto items = seen.Await(3);
  watch.value().reset();
  REQUIRE(items.size() >= 3);
  EXPECT(items[0] == "foobar");
  EXPECT(items[1] == "foo erased");
  EXPECT(items[2] == "reset");
  const auto requests = gateway.Requests();
  EXPECT(requests[0] ==
         R"(/v3/watch {"create_request":{"key":"Zg==","range_end":"Zw==",)"
         R"("start_revision":"5"}})");
  EXPECT(requests[2].find(R"("start_revision":"7")") != std::string::npos);
}

Test(etcd_store, a_watch_is_reset_if_the_store_was_restored) {
  fake_gateway gateway([](const std::string&, const std::string&) {
    fake_reply reply;
    reply.chunked = true;
    reply.body = R"({"result":{"header":{"revision":"7"},"created":true}})"
                 "\n";
    reply.stay_open = milliseconds(300);
    return reply;
  });
  const auto store = StoreAt({gateway.Address()});
  event_collector seen;
  const auto watch_from = [&](std::uint64_t revision) {
    return store->Watch(
        "f", revision, [](const change&) {}, [&] { seen.Add("reset"); });
  };
  SECTION("no reset if the watch continues from the current revision") {
    auto watch = watch_from(8);
    std::this_thread::sleep_for(milliseconds(100));
    watch.value().reset();
  }
  SECTION("a reset if the store is older than the last read revision") {
    auto watch = watch_from(9);
    const auto items = seen.Await(1);
    watch.value().reset();
    EXPECT(items.size() == 1);
  }
}

Test(etcd_store, a_connection_that_was_shut_down_is_not_opened_again) {
  std::signal(SIGPIPE, SIG_IGN);
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  const auto is_connecting = [&] {
    return server.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  };
  bool failed = false;
  {
    http_session session({"127.0.0.1", server.address().port()});
    session.Connect(std::chrono::seconds(5));
    REQUIRE(is_connecting());
    const auto accepted = server.acceptConnection();
    // A watch that is destroyed, or Interrupt, may do this before the send.
    session.socket().shutdown();
    try {
      session.Send({.path = "/v3/watch", .body = "{}"});
    } catch (const Poco::Exception&) {
      failed = true;
    }
  }
  EXPECT(failed);
  EXPECT(!is_connecting());
}

Test(etcd_store, destroying_a_watch_does_not_wait_for_the_stream) {
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::string message =
      R"({"result":{"events":[{"kv":{"key":"Zg==","mod_revision":"1"}}]}})"
      "\n";
  etcd_options options;
  options.addresses = {"http://" + server.address().toString()};
  options.watch_idle_timeout = std::chrono::seconds(30);
  const auto store = MakeEtcdStore(options).value();
  auto fastest = std::chrono::steady_clock::duration::max();
  for (int round = 0; round < 3; ++round) {
    event_collector seen;
    auto watch = store->Watch(
        "f", 1, [&](const change&) { seen.Add("change"); }, [] {});
    REQUIRE(server.poll(Poco::Timespan(5, 0), Poco::Net::Socket::SELECT_READ));
    auto stream = server.acceptConnection();
    const std::string answer =
        "HTTP/1.1 200 OK\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        Poco::NumberFormatter::formatHex(message.size()) + "\r\n" + message +
        "\r\n";
    stream.sendBytes(answer.data(), static_cast<int>(answer.size()));
    REQUIRE(seen.Await(1).size() == 1);
    // Lets the watch read again; it ends at once if it did not get so far.
    std::this_thread::sleep_for(milliseconds(50));
    const auto start = std::chrono::steady_clock::now();
    watch.value().reset();
    const auto spent = std::chrono::steady_clock::now() - start;
    // The stream is still open, so the idle timeout alone would end the wait.
    REQUIRE(spent < options.watch_idle_timeout / 2);
    fastest = std::min(fastest, spent);
  }
  // The machine may hold up the thread of one watch, but not of each.
  EXPECT(fastest < milliseconds(250));
}

}  // namespace marjoramslip::kv
