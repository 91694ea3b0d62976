// Tests of the results of probes, over real sockets and virtual time.

#include <Poco/Net/ServerSocket.h>

#include <memory>
#include <string>

#include "line_words.h"
#include "marjoramslip/lines/line_front.h"
#include "marjoramslip/lines/line_links.h"
#include "postgres/caller_bench.h"
#include "story.h"

namespace marjoramslip::lines {
namespace {

using shell::bench_loop;
using std::chrono::milliseconds;

constexpr int kTurnCount = 20;

/// The answers to the markers behind a probe.
const std::string kMarkersAnswered =
    "DONE -\r\nREADY I 1.10\r\nDONE -\r\nREADY I 1.10\r\n";
/// Answers to a probe, by the position received.
const std::string kState12 =
    "ROW replica 1 1.12 0 12 2 17\r\nDONE -\r\nREADY I 1.10\r\n";
const std::string kState15 =
    "ROW replica 1 1.15 0 12 2 17\r\nDONE -\r\nREADY I 1.15\r\n";

/// Has no statements to send.
class no_exchange final : public statement_exchange {
 public:
  bool FindStatement(request_id /*request*/,
                     outgoing_statement& /*statement*/) override {
    return false;
  }
  void OnAttempt(request_id /*request*/) override {}
  void OnRow(request_id /*request*/, std::string_view /*line*/) override {}
  void DiscardRows(request_id /*request*/) override {}
  void OnDone(request_id /*request*/, std::string_view /*signature*/,
              transaction_status /*status*/) override {}
  void OnError(request_id /*request*/, std::string_view /*line*/,
               transaction_status /*status*/) override {}
};

class no_promoter final : public endpoint_promoter {
 public:
  void Promote(std::string_view /*service*/, std::string_view /*endpoint*/,
               const promote_endpoint& /*command*/) override {}
};

/// Links to one endpoint, with the test in the role of the endpoint.
struct line_monitor_fixture {
  line_monitor_fixture() {
    instance_settings settings;
    settings.name = "one";
    links = MakeLineLinks(settings, loop, *codec, exchange, promoter);
    endpoint_spec spec;
    spec.name = "e";
    spec.identity = "e";
    spec.host = "127.0.0.1";
    spec.port = server.address().port();
    service_spec service;
    service.name = "ledger";
    service.groups = {{"g", {spec}}};
    catalogue declared;
    declared.revision = 1;
    declared.services.emplace("ledger", service);
    links->SetCatalogue(declared);
  }

  void RunTurns() {
    for (int i = 0; i < kTurnCount; ++i) {
      loop.Turn();
    }
  }

  /// Starts a probe over a new connection and accepts the connection.
  void Probe() {
    links->Probe({.endpoint = IdOf<endpoint_id>("e"),
                  .timeout = milliseconds(250),
                  .new_connection = true});
    RunTurns();
    accepted = server.acceptConnection();
    accepted.setNoDelay(true);
    RunTurns();
  }

  /// Starts to open a connection for statements and accepts it.
  void Open() {
    links->Open({.connection = connection_id{1},
                 .endpoint = IdOf<endpoint_id>("e"),
                 .timeout = milliseconds(400)});
    RunTurns();
    accepted = server.acceptConnection();
    accepted.setNoDelay(true);
    RunTurns();
  }

  /// Lets virtual time pass in small steps, as timers set others.
  void PassTime(duration length) {
    constexpr duration kStep = milliseconds(50);
    for (duration passed{}; passed < length; passed += kStep) {
      loop.Advance(kStep);
      loop.Turn();
    }
  }

  /// True if a connection waits to be accepted.
  bool HasNewConnection() {
    return server.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  }

  void SendFromEndpoint(const std::string& text) {
    accepted.sendBytes(text.data(), static_cast<int>(text.size()));
    RunTurns();
  }

  probe_failed TakeFailure() {
    const auto failed = loop.Take<probe_failed>();
    cr_assert(failed.has_value(), "the probe did not fail");
    return *failed;
  }

  bench_loop loop;
  std::unique_ptr<line_codec> codec = platform::MakePlatformLineCodec();
  no_exchange exchange;
  no_promoter promoter;
  Poco::Net::ServerSocket server{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::unique_ptr<shell::endpoint_links> links;
  Poco::Net::StreamSocket accepted;
};

}  // namespace

Test(line_monitor, distinguishes_unreachable_from_reachable_endpoints) {
  line_monitor_fixture fixture;
  fixture.Probe();
  SECTION("an endpoint that closes before READY is unreachable") {
    fixture.accepted.close();
    fixture.RunTurns();
    EXPECT(fixture.TakeFailure().new_connection);
  }
  fixture.Probe();
  SECTION("an endpoint that sends READY and then closes is reachable") {
    fixture.SendFromEndpoint("READY I 1.10\r\n");
    fixture.accepted.close();
    fixture.RunTurns();
    const probe_failed failed = fixture.TakeFailure();
    EXPECT(!failed.new_connection);
    EXPECT(!failed.limit_reached);
  }
  fixture.Probe();
  SECTION("an endpoint that refuses connections is full") {
    fixture.SendFromEndpoint("ERR TOOMANY e\r\n");
    const probe_failed failed = fixture.TakeFailure();
    EXPECT(failed.limit_reached);
    EXPECT(!failed.new_connection);
  }
  fixture.Probe();
  SECTION("an endpoint that refuses the probe as busy is full") {
    fixture.SendFromEndpoint("READY I 1.10\r\n");
    fixture.SendFromEndpoint("ERR BUSY e\r\nREADY I 1.10\r\n" +
                             kMarkersAnswered);
    EXPECT(fixture.TakeFailure().limit_reached);
  }
  fixture.Probe();
  SECTION("an endpoint that answers reports its positions") {
    fixture.SendFromEndpoint("READY I 1.10\r\n");
    fixture.SendFromEndpoint(kState12 + kMarkersAnswered);
    const auto answered = fixture.loop.Take<probe_answered>();
    REQUIRE(answered.has_value());
    EXPECT((answered->state.received_point == log_point{1, 12}));
    EXPECT(answered->state.position == 10);
  }
}

// Guards against startups that are given up and tried again at an overloaded
// endpoint, which spends a slot on each of them all the same. After a loss of
// power of 32 instances that alone kept endpoints of three slots overloaded.
Test(line_monitor, keeps_a_startup_that_the_endpoint_has_accepted) {
  line_monitor_fixture fixture;
  fixture.Open();
  fixture.PassTime(milliseconds(1500));
  SECTION("a connection that opens after 1.5 s is used") {
    EXPECT(!fixture.loop.Take<connection_refused>().has_value());
    fixture.SendFromEndpoint("READY I 1.10\r\n");
    EXPECT(fixture.loop.Take<connection_opened>().has_value());
  }
  SECTION("it does not end at the time-out of its startup") {
    fixture.PassTime(milliseconds(500));
    EXPECT(!fixture.loop.Take<connection_refused>().has_value());
  }
}

Test(line_monitor, gives_up_a_startup_without_an_answer) {
  line_monitor_fixture fixture;
  fixture.Open();
  fixture.PassTime(milliseconds(1550));
  SECTION("nothing is reported before 1.6 s") {
    EXPECT(!fixture.loop.Take<connection_refused>().has_value());
  }
  fixture.PassTime(milliseconds(100));
  SECTION("the endpoint is reported as one that hangs") {
    const auto refused = fixture.loop.Take<connection_refused>();
    REQUIRE(refused.has_value());
    EXPECT(refused->unanswered);
    EXPECT(!refused->limit_reached);
  }
}

// The same for the connection that probes use.
Test(line_monitor, keeps_the_startup_of_a_probe_that_timed_out) {
  line_monitor_fixture fixture;
  fixture.Probe();
  fixture.PassTime(milliseconds(300));
  SECTION("the core is told at the usual time") {
    const probe_failed failed = fixture.TakeFailure();
    EXPECT(failed.unanswered);
    EXPECT(failed.new_connection);
  }
  fixture.links->Probe({.endpoint = IdOf<endpoint_id>("e"),
                        .timeout = milliseconds(250),
                        .new_connection = true});
  fixture.RunTurns();
  SECTION("the next probe waits for the same startup") {
    REQUIRE(!fixture.HasNewConnection());
    fixture.SendFromEndpoint("READY I 1.10\r\n");
    fixture.SendFromEndpoint(kState12 + kMarkersAnswered);
    EXPECT(fixture.loop.Take<probe_answered>().has_value());
  }
}

Test(line_monitor, gives_up_the_startup_of_probes_after_its_time) {
  line_monitor_fixture fixture;
  fixture.Probe();
  fixture.PassTime(milliseconds(1700));
  fixture.links->Probe({.endpoint = IdOf<endpoint_id>("e"),
                        .timeout = milliseconds(250),
                        .new_connection = true});
  fixture.RunTurns();
  EXPECT(fixture.HasNewConnection());
}

// Guards against names of the registry and of accounts that smuggle a statement
// into the startup.
Test(line_links, a_name_with_a_line_end_is_not_sent) {
  line_monitor_fixture fixture;
  fixture.links->Open({.connection = connection_id{1},
                       .endpoint = IdOf<endpoint_id>("e"),
                       .timeout = milliseconds(400),
                       .account = "a\r\nQUERY - RESET"});
  fixture.RunTurns();
  EXPECT(fixture.loop.Take<connection_refused>().has_value());
  if (fixture.HasNewConnection()) {
    fixture.accepted = fixture.server.acceptConnection();
    fixture.RunTurns();
    EXPECT(fixture.accepted.available() == 0);
  }
}

// Guards against an old state of an endpoint that is taken for evidence of now
// because the endpoint has answered an earlier probe twice.
Test(line_monitor, a_repeated_answer_does_not_answer_the_next_probe) {
  line_monitor_fixture fixture;
  fixture.Probe();
  fixture.SendFromEndpoint("READY I 1.10\r\n");
  fixture.SendFromEndpoint(kState12 + kMarkersAnswered);
  REQUIRE(fixture.loop.Take<probe_answered>().has_value());
  const auto probe_again = [&fixture] {
    fixture.links->Probe(
        {.endpoint = IdOf<endpoint_id>("e"), .timeout = milliseconds(250)});
    fixture.RunTurns();
  };
  const auto take_position = [&fixture] {
    const auto answered = fixture.loop.Take<probe_answered>();
    return answered ? answered->state.received_point.position : 0;
  };
  SECTION("between two probes") {
    fixture.SendFromEndpoint(kState12);
    probe_again();
    EXPECT(take_position() == 0);
    fixture.SendFromEndpoint(kState15 + kMarkersAnswered);
    EXPECT(take_position() == 15);
  }
  SECTION("before the answer to the next probe: it is asked again") {
    probe_again();
    fixture.SendFromEndpoint(kState12);
    EXPECT(take_position() == 0);
    fixture.SendFromEndpoint(kState15 + kMarkersAnswered);
    EXPECT(take_position() == 0);
    fixture.SendFromEndpoint(kState15 + kMarkersAnswered);
    EXPECT(take_position() == 15);
  }
  SECTION("in part before the next probe and in part after it") {
    fixture.SendFromEndpoint(kState12.substr(0, 30));
    probe_again();
    fixture.SendFromEndpoint(kState12.substr(30));
    EXPECT(take_position() == 0);
    fixture.SendFromEndpoint(kState15 + kMarkersAnswered);
    EXPECT(take_position() == 15);
  }
  SECTION("of the startup, and of a marker") {
    probe_again();
    fixture.SendFromEndpoint("READY I 1.10\r\nDONE -\r\nREADY I 1.10\r\n");
    fixture.SendFromEndpoint(kState15 + kMarkersAnswered);
    EXPECT(take_position() == 15);
  }
  SECTION("an answer that breaks off is not continued on another connection") {
    fixture.SendFromEndpoint(kState12.substr(0, 30));
    fixture.accepted.close();
    fixture.RunTurns();
    fixture.loop.ForgetPosted();
    fixture.Probe();
    fixture.SendFromEndpoint("READY I 1.10\r\n");
    fixture.SendFromEndpoint(kState15 + kMarkersAnswered);
    EXPECT(take_position() == 15);
  }
  SECTION("an order that is answered by a probe's answer is given again") {
    fixture.links->Move({.endpoint = IdOf<endpoint_id>("e"),
                         .term = 3,
                         .stop_replication = false});
    fixture.RunTurns();
    fixture.SendFromEndpoint(kState15);
    fixture.SendFromEndpoint(kState15 + kMarkersAnswered);
    EXPECT(!fixture.loop.Take<endpoint_moved>().has_value());
    fixture.SendFromEndpoint(
        "ROW replica 3 1.15 0 12 2 17\r\nDONE -\r\nREADY I 1.15\r\n" +
        kMarkersAnswered);
    const auto moved = fixture.loop.Take<endpoint_moved>();
    REQUIRE(moved.has_value());
    EXPECT(moved->state.term == 3);
  }
}

}  // namespace marjoramslip::lines
