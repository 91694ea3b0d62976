// Links to endpoints over real sockets: answers, outcomes, losses, probes.

#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "fake_endpoint.h"
#include "marjoramslip/postgres/postgres_links.h"
#include "marjoramslip/runtime/poll_loop.h"
#include "story.h"

namespace marjoramslip::shell {

namespace {

constexpr duration kLimit = std::chrono::seconds(5);
constexpr connection_id kConnection{1};
constexpr request_id kRequest{7};

/// Writes down what the caller would see.
class recording_sink : public answer_sink, public statement_source {
 public:
  void OnAttempt(request_id /*request*/) override { seen.clear(); }
  void OnColumns(request_id /*request*/,
                 std::span<const wire::column> columns) override {
    seen += "columns " + std::to_string(columns.size()) + ";";
  }
  void OnRow(request_id /*request*/,
             std::span<const wire::cell> cells) override {
    seen += "row " + std::string(cells[0].value_or("null")) + ";";
    accepting = ++rows < pause_at;
  }
  void OnCommandTag(request_id /*request*/, std::string_view tag) override {
    seen += "tag " + std::string(tag) + ";";
  }
  void OnServerError(request_id /*request*/,
                     const wire::error_fields& fields) override {
    seen += "error " + fields.sqlstate + ";";
  }
  void OnNotice(request_id /*request*/,
                const wire::error_fields& /*fields*/) override {}
  bool Accepting(request_id /*request*/) const override { return accepting; }
  std::string_view TextOf(request_id /*request*/) const override {
    return text;
  }

  std::string seen;
  std::string text = "SELECT 1";
  bool accepting = true;
  int rows = 0;
  int pause_at = 1000000;
};

/// An instance's links, one endpoint, and the events that come.
class fixture : public event_consumer {
 public:
  explicit fixture(fake_endpoint::answerer answer)
      : endpoint_(std::move(answer)),
        links(MakePostgresLinks(instance_settings{}, loop, sink, sink)) {
    loop.SetConsumer(this);
    catalogue known;
    known.revision = 1;
    service_spec service;
    group_spec group;
    endpoint_spec endpoint;
    endpoint.name = "e";
    endpoint.host = "127.0.0.1";
    endpoint.port = endpoint_.Port();
    group.endpoints.push_back(endpoint);
    service.groups.push_back(group);
    known.services["s"] = service;
    links->SetCatalogue(known);
  }

  void Consume(const event& what) override {
    if (std::holds_alternative<tick>(what)) {
      return;
    }
    events.push_back(what);
    loop.Stop();
  }
  void OnTurn(duration /*busy*/) override {}

  /// The next event, which must be of type `wanted`.
  template <typename wanted>
  wanted Await() {
    if (events.empty()) {
      loop.After(kLimit, [this] { loop.Stop(); });
      loop.Run();
    }
    REQUIRE(!events.empty());
    const event first = events.front();
    events.erase(events.begin());
    REQUIRE(std::holds_alternative<wanted>(first));
    return std::get<wanted>(first);
  }

  void Open() {
    links->Open({kConnection, IdOf<endpoint_id>("e"), 3, kLimit});
    Await<connection_opened>();
  }

  statement_answered Ask(std::string key = "") {
    links->Send({kConnection, kRequest, 3, false, std::move(key)});
    return Await<statement_answered>();
  }

  fake_endpoint endpoint_;
  poll_loop loop;
  recording_sink sink;
  std::unique_ptr<postgres_links> links;
  std::vector<event> events;
};

std::string Ready(std::string out, const char* state = "3/3/11/primary") {
  wire::AppendParameterStatus(out, "group_state", state);
  wire::AppendReadyForQuery(out, wire::ready_status::kIdle);
  return out;
}

std::string Row(std::string_view text) {
  std::string out;
  const wire::cell cell = text;
  wire::AppendDataRow(out, {&cell, 1});
  return out;
}

std::string Columns() {
  std::string out;
  const wire::column column{.name = "c"};
  wire::AppendRowDescription(out, {&column, 1});
  return out;
}

std::string Tag(std::string_view tag) {
  std::string out;
  wire::AppendCommandComplete(out, tag);
  return out;
}

std::string Error(const char* sqlstate, const char* severity = "ERROR") {
  std::string out;
  wire::error_fields fields;
  fields.severity = severity;
  fields.sqlstate = sqlstate;
  wire::AppendErrorResponse(out, fields);
  return out;
}

}  // namespace

Test(endpoint_links, carries_an_answer, .timeout = 30) {
  fixture test([](const std::string&) {
    return fake_answer{
        Ready(Columns() + Row("a") + Row("b") + Row("c") + Tag("SELECT 3"))};
  });
  test.Open();
  SECTION("the connection names its term") {
    EXPECT(test.endpoint_.Options() == "-c group.expected_term=3");
  }
  SECTION("columns, rows and tag reach the sink, the state the core") {
    const statement_answered answer = test.Ask();
    EXPECT(answer.outcome == answer_outcome::kSucceeded);
    EXPECT(answer.request == kRequest);
    EXPECT(answer.state.position == 11);
    EXPECT(test.sink.seen == "columns 1;row a;row b;row c;tag SELECT 3;");
  }
  SECTION("a full buffer pauses the rows until it has room") {
    test.sink.seen.clear();
    test.sink.rows = 0;
    test.sink.pause_at = 2;
    test.links->Send({kConnection, kRequest, 3, false, ""});
    test.loop.After(std::chrono::milliseconds(50), [&] { test.loop.Stop(); });
    test.loop.Run();
    EXPECT(test.sink.seen == "columns 1;row a;row b;");
    SECTION("and says that the answer is held") {
      EXPECT(test.Await<statement_progressed>().caller_buffer_full);
    }
    test.sink.accepting = true;
    test.sink.pause_at = 1000000;
    test.links->OnCallerReady(kRequest);
    SECTION("then that it goes on") {
      EXPECT(!test.Await<statement_progressed>().caller_buffer_full);
    }
    test.Await<statement_answered>();
    EXPECT(test.sink.seen == "columns 1;row a;row b;row c;tag SELECT 3;");
  }
}

// Guards against the second one of two answers that is taken for the answer to
// the next statement.
Test(endpoint_links, ignores_an_answer_between_two_statements, .timeout = 30) {
  const std::string first = Ready(Columns() + Row("a") + Tag("SELECT 1"));
  const std::string second = Ready(Columns() + Row("b") + Tag("SELECT 1"));
  int asked = 0;
  fixture test([&](const std::string&) {
    return fake_answer{asked++ == 0 ? first + first : second};
  });
  test.Open();
  test.Ask();
  EXPECT(test.sink.seen == "columns 1;row a;tag SELECT 1;");
  test.Ask();
  EXPECT(test.sink.seen == "columns 1;row b;tag SELECT 1;");
}

Test(endpoint_links, tells_refusals_from_failures, .timeout = 30) {
  std::string bytes;
  fixture test([&](const std::string&) { return fake_answer{bytes}; });
  test.Open();
  SECTION("another term and a replica are refusals, nothing is delivered") {
    bytes = Ready(Error("72T01"), "4/3/11/replica");
    const statement_answered moved = test.Ask();
    EXPECT(moved.outcome == answer_outcome::kWrongTerm);
    EXPECT(moved.state.term == 4);
    bytes = Ready(Error("25006"));
    EXPECT(test.Ask().outcome == answer_outcome::kNotWritable);
    EXPECT(test.sink.seen.empty());
  }
  SECTION("another error is the caller's") {
    bytes = Ready(Error("22012"));
    EXPECT(test.Ask().outcome == answer_outcome::kFailed);
    EXPECT(test.sink.seen == "error 22012;");
  }
  SECTION("a refusal after rows went on is the caller's too") {
    bytes = Ready(Columns() + Row("a") + Error("72T01"));
    EXPECT(test.Ask().outcome == answer_outcome::kFailed);
  }
  SECTION("a fatal error is a loss of the connection") {
    bytes = Error("57P01", "FATAL");
    test.links->Send({kConnection, kRequest, 3, false, ""});
    EXPECT(test.Await<connection_lost>().maybe_sent);
  }
}

Test(endpoint_links, keeps_reads_from_writing, .timeout = 30) {
  std::string bytes;
  fixture test([&](const std::string&) { return fake_answer{bytes}; });
  test.Open();
  const auto read = [&] {
    test.links->Send({kConnection, kRequest, 3, true, ""});
    return test.Await<statement_answered>().outcome;
  };
  SECTION("a read comes in a transaction that cannot write") {
    bytes = Ready(Tag("SET") + Columns() + Row("a") + Tag("SELECT 1"));
    EXPECT(read() == answer_outcome::kSucceeded);
    EXPECT(test.endpoint_.Queries().back() ==
           "SET LOCAL transaction_read_only = on; SELECT 1");
    EXPECT(test.sink.seen == "columns 1;row a;tag SELECT 1;");
  }
  SECTION("one that would write is refused before it has an effect") {
    bytes = Ready(Tag("SET") + Error("25006"));
    EXPECT(read() == answer_outcome::kNotWritable);
    EXPECT(test.sink.seen.empty());
  }
  SECTION("another term refuses the read as it would without") {
    bytes = Ready(Error("72T01"));
    EXPECT(read() == answer_outcome::kWrongTerm);
    bytes = Ready(Tag("SELECT 0"));
    EXPECT(test.Ask().outcome == answer_outcome::kSucceeded);
    EXPECT(test.sink.seen == "tag SELECT 0;");
  }
}

Test(endpoint_links, lets_no_cancel_reach_another_caller, .timeout = 30) {
  fixture test([](const std::string& sql) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    std::string out = Tag("SELECT 0");
    wire::AppendReadyForQuery(out, sql == "COMMIT"
                                       ? wire::ready_status::kIdle
                                       : wire::ready_status::kInTransaction);
    return fake_answer{out};
  });
  test.Open();
  SECTION("a transaction goes on after a cancel that came late") {
    test.links->Send({kConnection, kRequest, 3, false, ""});
    test.links->Cancel({kConnection});
    test.Await<statement_answered>();
    EXPECT(test.Ask().outcome == answer_outcome::kSucceeded);
  }
  SECTION("its connection serves no one after it") {
    test.sink.text = "COMMIT";
    EXPECT(test.Ask().outcome == answer_outcome::kSucceeded);
    EXPECT(!test.Await<connection_lost>().maybe_sent);
  }
}

Test(endpoint_links, reports_a_loss, .timeout = 30) {
  fixture test([](const std::string&) {
    return fake_answer{.bytes = "", .hang_up = true};
  });
  test.Open();
  SECTION("a statement that left may have run") {
    test.links->Send({kConnection, kRequest, 3, false, ""});
    const connection_lost lost = test.Await<connection_lost>();
    EXPECT(lost.maybe_sent);
    EXPECT(!lost.maybe_forwarded);
  }
}

Test(endpoint_links, reports_that_rows_were_forwarded, .timeout = 30) {
  fixture test([](const std::string&) {
    return fake_answer{Columns() + Row("a") + Error("57P01", "FATAL")};
  });
  test.Open();
  SECTION("so that a read is not repeated") {
    test.links->Send({kConnection, kRequest, 3, false, ""});
    EXPECT(test.Await<connection_lost>().maybe_forwarded);
  }
}

Test(endpoint_links, runs_a_keyed_statement_once, .timeout = 30) {
  bool recorded = false;
  fixture test([&](const std::string& sql) {
    if (sql.starts_with("SELECT tag")) {
      const std::string row = recorded ? Row("UPDATE 1") : "";
      return fake_answer{Ready(Columns() + row + Tag("SELECT"))};
    }
    recorded = recorded || sql.starts_with("INSERT");
    return fake_answer{
        Ready(Tag(sql.starts_with("UPDATE") ? "UPDATE 1" : sql))};
  });
  test.sink.text = "UPDATE t SET a = 1";
  test.Open();
  SECTION("the first time its own tag is delivered, after the COMMIT") {
    EXPECT(test.Ask("it's").outcome == answer_outcome::kSucceeded);
    EXPECT(test.sink.seen == "tag UPDATE 1;");
    EXPECT(test.endpoint_.Queries().size() == 5);
    EXPECT(test.endpoint_.Queries()[1].ends_with("'it''s'"));
  }
  SECTION("the second time the recorded one, and it does not run") {
    test.sink.seen.clear();
    EXPECT(test.Ask("it's").outcome == answer_outcome::kAlreadyRan);
    EXPECT(test.sink.seen == "tag UPDATE 1;");
    EXPECT(test.endpoint_.Queries().size() == 8);
  }
}

Test(endpoint_links, watches_endpoints, .timeout = 30) {
  bool silent = false;
  fixture test([&](const std::string&) {
    return fake_answer{
        .bytes = Ready(Columns() + Row("5/5/20/replica") + Tag("SELECT 1")),
        .silent = silent};
  });
  const endpoint_id endpoint = IdOf<endpoint_id>("e");
  SECTION("a probe, a move and a promotion answer with the state") {
    test.links->Probe({endpoint, kLimit, false});
    EXPECT(test.Await<probe_answered>().state.position == 20);
    test.links->Move({endpoint, 5});
    EXPECT(test.Await<endpoint_moved>().state.term == 5);
    test.links->Promote({endpoint, 5});
    EXPECT(test.Await<endpoint_promoted>().accepted);
    EXPECT(test.endpoint_.Queries()[1] == "SELECT group_move(5)");
  }
  SECTION("silence on an old connection is told from a new one's") {
    silent = true;
    test.links->Probe({endpoint, std::chrono::milliseconds(30), false});
    EXPECT(!test.Await<probe_failed>().new_connection);
    test.links->Probe({endpoint, std::chrono::milliseconds(30), true});
    EXPECT(test.Await<probe_failed>().new_connection);
    silent = false;
    test.links->Probe({endpoint, kLimit, true});
    EXPECT(test.Await<probe_answered>().state.term == 5);
  }
}

Test(endpoint_links, reports_an_unreachable_endpoint, .timeout = 30) {
  fixture test([](const std::string&) { return fake_answer{}; });
  SECTION("an unknown endpoint refuses at once") {
    test.links->Open({kConnection, IdOf<endpoint_id>("x"), 3, kLimit});
    EXPECT(!test.Await<connection_refused>().limit_reached);
    test.links->Probe({IdOf<endpoint_id>("x"), kLimit, false});
    EXPECT(test.Await<probe_failed>().new_connection);
  }
}

}  // namespace marjoramslip::shell
