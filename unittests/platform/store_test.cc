// Tests the clients of the platform's metadata store and promotion call against
// a server that fails.

#include <Poco/URI.h>

#include <atomic>
#include <mutex>

#include "http_store.h"
#include "kv/fake_gateway.h"
#include "marjoramslip/base/attempt.h"
#include "marjoramslip/base/clock.h"
#include "promotions.h"
#include "recording_loop.h"
#include "story.h"

namespace marjoramslip::platform {
namespace {

using kv::fake_gateway;
using kv::fake_reply;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kCallDeadline(300);

kv::http_address ParseAddress(const fake_gateway& gateway) {
  const Poco::URI uri(gateway.Address());
  return {uri.getHost(), uri.getPort()};
}

/// A store client whose server gives the same settable reply to every request.
struct store_fixture {
  void SetReply(fake_reply new_reply) {
    const std::lock_guard lock(mutex);
    reply = std::move(new_reply);
  }

  attempted<std::uint64_t> Write() {
    return Attempt([this] {
      return store->Transact({{"a", 0}}, {{"a", "b", false, 0}});
    });
  }

  attempted<kv::range_result> Read() {
    return Attempt([this] { return store->Range("a", false); });
  }

  std::mutex mutex;
  fake_reply reply;
  fake_gateway gateway{[this](const std::string&, const std::string&) {
    const std::lock_guard lock(mutex);
    return reply;
  }};
  std::unique_ptr<kv::key_value_store> store =
      MakeHttpStore(ParseAddress(gateway), kCallDeadline);
};

}  // namespace

Test(http_store, classifies_write_failures) {
  store_fixture fixture;
  SECTION("a successful write returns its revision") {
    fixture.SetReply({.status = 200, .body = R"({"rev":7})"});
    const auto written = fixture.Write();
    REQUIRE(static_cast<bool>(written));
    EXPECT(*written == 7);
  }
  SECTION("a failed condition is a conflict") {
    fixture.SetReply({.status = 412, .body = "{}"});
    EXPECT(fixture.Write().Failed(error_kind::kConflict));
  }
  SECTION("an unknown lease is invalid") {
    fixture.SetReply({.status = 404, .body = "{}"});
    EXPECT(fixture.Write().Failed(error_kind::kInvalid));
  }
  for (const int status : {429, 503}) {
    SECTION("a refused write has not taken effect") {
      fixture.SetReply({.status = status, .body = "{}"});
      EXPECT(fixture.Write().Failed(error_kind::kUnavailable));
    }
  }
  SECTION("after any other status the write may have taken effect") {
    fixture.SetReply({.status = 500, .body = "{}"});
    EXPECT(fixture.Write().Failed(error_kind::kUnknown));
  }
  SECTION("a write without a response may have taken effect") {
    fixture.SetReply({.body = {}, .drop = true});
    EXPECT(fixture.Write().Failed(error_kind::kUnknown));
    fixture.SetReply(
        {.status = 200, .body = R"({"rev":7})", .delay = seconds(1)});
    EXPECT(fixture.Write().Failed(error_kind::kUnknown));
  }
  SECTION("a write with a malformed response may have taken effect") {
    fixture.SetReply({.status = 200, .body = "7"});
    EXPECT(fixture.Write().Failed(error_kind::kUnknown));
  }
}

Test(http_store, failed_reads_are_unavailable) {
  store_fixture fixture;
  for (const int status : {429, 500, 503}) {
    SECTION("a read is refused") {
      fixture.SetReply({.status = status, .body = "{}"});
      EXPECT(fixture.Read().Failed(error_kind::kUnavailable));
    }
  }
  SECTION("the connection is closed during a read") {
    fixture.SetReply({.body = {}, .drop = true});
    EXPECT(fixture.Read().Failed(error_kind::kUnavailable));
  }
  SECTION("a missing key gives an empty result") {
    fixture.SetReply({.status = 404, .body = "{}"});
    const auto found = Attempt([&] { return fixture.store->Range("a", true); });
    REQUIRE(static_cast<bool>(found));
    EXPECT(found->entries.empty());
  }
  SECTION("an expired lease differs from an outage") {
    const auto keep_alive = [&] {
      return Attempt([&] { return fixture.store->KeepAlive(3); });
    };
    fixture.SetReply({.status = 404, .body = "{}"});
    EXPECT(keep_alive().Failed(error_kind::kConflict));
    fixture.SetReply({.status = 503, .body = "{}"});
    EXPECT(keep_alive().Failed(error_kind::kUnavailable));
  }
}

Test(http_store, watch_recovers_from_server_failures) {
  std::atomic<int> polls = 0;
  std::atomic<int> resets = 0;
  std::atomic<std::uint64_t> delivered_revision = 0;
  fake_gateway gateway([&](const std::string& path, const std::string&) {
    const int poll_number = ++polls;
    if (poll_number == 1) {
      return fake_reply{.status = 503, .body = "{}"};
    }
    if (poll_number == 2) {
      return fake_reply{.body = {}, .drop = true};
    }
    if (poll_number == 3) {
      return fake_reply{.status = 200, .body = "[]"};
    }
    if (poll_number == 4) {
      return fake_reply{.status = 200,
                        .body =
                            R"({"events":[{"key":"a","rev":9,"value":"Yg=="}],)"
                            R"("storeRevision":9})"};
    }
    const bool continues = path.find("after=9") != std::string::npos;
    return fake_reply{.status = continues ? 410 : 500, .body = "{}"};
  });
  const auto store = MakeHttpStore(ParseAddress(gateway), kCallDeadline);
  const auto watch = Attempt([&] {
    return store->Watch(
        "", 5,
        [&](const kv::change& change) {
          delivered_revision = change.current_entry.mod_revision;
        },
        [&] { ++resets; });
  });
  REQUIRE(static_cast<bool>(watch));
  for (int i = 0; i < 500 && resets == 0; ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  SECTION("it delivers the changes that follow the failures") {
    EXPECT(delivered_revision == 9);
  }
  SECTION("it continues from their revision and reports lost history once") {
    EXPECT(resets == 1);
    EXPECT(polls == 5);
  }
}

// Guards against a watch that goes on from a revision that the store has given
// out again after it went back to an older copy, and misses what came between.
Test(http_store, a_watch_ends_with_the_history_of_the_store) {
  std::atomic<int> resets = 0;
  std::atomic<int> deliveries = 0;
  std::atomic<milliseconds> poll_time = milliseconds(20);
  std::mutex mutex;
  std::string era = "4";
  std::string events;
  fake_gateway gateway([&](const std::string& path, const std::string&) {
    const std::lock_guard lock(mutex);
    fake_reply reply{.body = R"({"items":[],"events":[)" + events +
                             R"(],"storeRevision":9})"};
    reply.era = era;
    reply.delay = path.find("watch") == std::string::npos ? milliseconds(0)
                                                          : poll_time.load();
    return reply;
  });
  const auto set = [&](const char* new_era, const char* new_events) {
    const std::lock_guard lock(mutex);
    era = new_era;
    events = new_events;
  };
  const auto await_reset = [&](int count) {
    for (int i = 0; i < 500 && resets < count; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return resets == count;
  };
  const auto store = MakeHttpStore(ParseAddress(gateway), kCallDeadline);
  const auto read = [&] {
    return Attempt([&] { return store->Range("", false); });
  };
  const auto start_watch = [&] {
    return Attempt([&] {
      return store->Watch(
          "", 10, [&](const kv::change&) { ++deliveries; }, [&] { ++resets; });
    });
  };
  REQUIRE(read()->history == kv::history_id(4));
  auto watch = start_watch();
  SECTION("it goes on while the history stays") {
    std::this_thread::sleep_for(milliseconds(200));
    EXPECT(resets == 0);
  }
  SECTION("its own poll shows another history; its changes are not delivered") {
    set("5", R"({"key":"a","rev":10,"value":"Yg=="})");
    EXPECT(await_reset(1));
    EXPECT(deliveries == 0);
    EXPECT(store->History() == kv::history_id(5));
  }
  SECTION("a poll that waits is ended by any other call") {
    REQUIRE(read());
    poll_time = seconds(3);
    watch = start_watch();
    std::this_thread::sleep_for(milliseconds(50));
    set("6", "");
    const instant told_at = BootTime();
    REQUIRE(read());
    EXPECT(await_reset(2));
    EXPECT(BootTime() - told_at < seconds(1));
    poll_time = milliseconds(20);
  }
  SECTION("an answer of an earlier history that comes late is dropped") {
    set("5", "");
    EXPECT(read().Failed(error_kind::kUnavailable));
    EXPECT(store->History() == kv::history_id(6));
  }
  SECTION("a store that does not tell is read again and again") {
    set("", "");
    REQUIRE(read());
    EXPECT(!store->History().has_value());
    watch = start_watch();
    EXPECT(await_reset(3));
  }
}

// Guards against a list that mixes two histories.
Test(http_store, pages_of_two_histories_are_not_joined) {
  std::atomic<int> pages = 0;
  fake_gateway gateway([&](const std::string&, const std::string&) {
    fake_reply reply{
        .body = R"({"items":[{"key":"a","rev":1,"value":"Yg=="}],"hasMore":)" +
                std::string(++pages == 1 ? "true" : "false") +
                R"(,"storeRevision":9})"};
    reply.era = pages == 1 ? "1" : "2";
    return reply;
  });
  const auto store = MakeHttpStore(ParseAddress(gateway), kCallDeadline);
  const auto read = [&] {
    return Attempt([&] { return store->Range("", false); });
  };
  EXPECT(read().Failed(error_kind::kUnavailable));
  EXPECT(static_cast<bool>(read()));
}

Test(promoter, each_answer_is_reported) {
  fake_gateway gateway([](const std::string&, const std::string& body) {
    if (body.find("db-good") != std::string::npos) {
      return fake_reply{.status = 200, .body = "{}"};
    }
    if (body.find("db-many") != std::string::npos) {
      return fake_reply{.status = 429, .body = "slow down"};
    }
    return body.find("db-cut") == std::string::npos
               ? fake_reply{.status = 409, .body = "stale fence"}
               : fake_reply{.body = {}, .drop = true};
  });
  shell::recording_loop loop;
  const auto promote = [&loop](const kv::http_address& platform,
                               const char* name,
                               instant send_until = instant::max()) {
    const auto promoter = MakePromoter(platform, "one", loop);
    promote_endpoint promotion;
    promotion.endpoint = IdOf<endpoint_id>(name);
    promotion.fence = 3;
    promotion.send_until = send_until;
    promoter->Promote("svc", name, promotion);
    return loop.Await<promotion_answered>(
        [&](const promotion_answered& answer) {
          return answer.endpoint == promotion.endpoint;
        });
  };
  SECTION("a success") {
    const auto answer = promote(ParseAddress(gateway), "db-good");
    REQUIRE(answer.has_value());
    EXPECT(answer->outcome == promotion_outcome::kAccepted);
  }
  SECTION("a call without a response may take effect") {
    const auto answer = promote(ParseAddress(gateway), "db-cut");
    REQUIRE(answer.has_value());
    EXPECT(answer->outcome == promotion_outcome::kUnknown);
    EXPECT(!answer->reason.empty());
  }
  SECTION("a refusal, with the platform's response") {
    const auto answer = promote(ParseAddress(gateway), "db-old");
    REQUIRE(answer.has_value());
    EXPECT(answer->outcome == promotion_outcome::kNotRunning);
    EXPECT(answer->reason.find("409: stale fence") != std::string::npos);
  }
  SECTION("a refusal for want of room") {
    const auto answer = promote(ParseAddress(gateway), "db-many");
    REQUIRE(answer.has_value());
    EXPECT(answer->outcome == promotion_outcome::kOverLimit);
  }
  SECTION("a request that could not be sent in time") {
    const auto answer =
        promote(ParseAddress(gateway), "db-late", BootTime() - milliseconds(1));
    REQUIRE(answer.has_value());
    EXPECT(answer->outcome == promotion_outcome::kNotSent);
    EXPECT(gateway.Requests().size() == 4);
  }
  SECTION("a platform that can't be reached") {
    const auto answer = promote({"127.0.0.1", 1}, "db-far");
    REQUIRE(answer.has_value());
    EXPECT(answer->outcome == promotion_outcome::kNotSent);
  }
}

}  // namespace marjoramslip::platform
