// Tests of the answers that callers of the line protocol receive, over real
// sockets and virtual time.

#include "marjoramslip/lines/line_front.h"

#include <memory>
#include <string>
#include <vector>

#include "line_words.h"
#include "marjoramslip/core/sqlstates.h"
#include "postgres/caller_bench.h"
#include "story.h"

namespace marjoramslip::lines {
namespace {

using shell::bench_caller;
using shell::bench_loop;
using std::chrono::seconds;

/// A front, with the test in the role of the core and the links.
struct line_front_fixture {
  line_front_fixture() {
    instance_settings settings;
    settings.name = "one";
    settings.max_message_bytes = 1000;
    settings.startup_timeout = seconds(5);
    settings.write_stall_timeout = seconds(30);
    front = leaf::try_handle_all(
        [&] { return MakeLineFront(settings, loop, *codec); },
        [] { return std::unique_ptr<line_front>(); });
  }

  caller_id OpenSession(bench_caller& caller) {
    caller.Send("STARTUP db me\r\n");
    greeting = caller.Receive();
    return loop.Take<caller_opened>().value_or(caller_opened{}).caller;
  }
  statement_received TakeStatement() {
    const auto found = loop.Take<statement_received>();
    cr_assert(found.has_value(), "no statement was posted");
    return *found;
  }
  void Succeed(const statement_received& statement, transaction_status status) {
    front->OnRow(statement.request, "ROW abc");
    front->OnDone(statement.request, "7.1f", status);
    front->Release({statement.caller, statement.request, {}});
  }

  bench_loop loop;
  std::unique_ptr<line_codec> codec = platform::MakePlatformLineCodec();
  std::unique_ptr<line_front> front;
  std::string greeting;
};

/// Keeps what is reported.
struct recording_observer final : shell::session_observer {
  void OnRefusal(const shell::session_refusal& /*refusal*/) override {}
  void OnSessionCut(const shell::session_cut& cut) override {
    cuts.emplace_back(cut.statement);
    cause = cut.cause;
  }
  std::vector<std::string> cuts;
  shell::close_cause cause = shell::close_cause::kInstance;
};

/// Longer than the period in which closed sessions refuse statements.
constexpr std::chrono::milliseconds kAfterRefusals(2100);
constexpr std::chrono::milliseconds kAfterLastStatement(250);
const failure kGoing{verdict::kNotRun, sqlstate::kShutdown, "going"};
/// The refusal of the next statement of a closed session, which is sent ahead,
/// the rest of that answer, and the answer to a statement already there.
const std::string kRefusedAhead = "ERR BUSY going\r\n";
const std::string kRest = "READY I -\r\n";
const std::string kRefused = kRefusedAhead + kRest;

}  // namespace

Test(line_front, a_session) {
  line_front_fixture fixture;
  bench_caller caller(fixture.loop);
  const caller_id id = fixture.OpenSession(caller);
  EXPECT(fixture.greeting == "READY I -\r\n");
  SECTION("an answer is held back until the core releases it") {
    caller.Send("QUERY 5c READ 1a4\r\n");
    EXPECT(caller.Receive().empty());
    const statement_received read = fixture.TakeStatement();
    EXPECT(read.kind == statement_kind::kRead && read.caller == id);
    outgoing_statement out;
    REQUIRE(fixture.front->FindStatement(read.request, out));
    EXPECT(out.id == "5c" && out.text == "READ 1a4");
    fixture.Succeed(read, transaction_status::kIdle);
    EXPECT(caller.Receive() == "ROW abc\r\nDONE 7.1f\r\nREADY I -\r\n");
  }
  SECTION("a second attempt replaces the rows of the first one") {
    caller.Send("QUERY 5d READ 1a4\r\n");
    caller.Receive();
    const statement_received read = fixture.TakeStatement();
    fixture.front->OnRow(read.request, "ROW half");
    fixture.front->OnAttempt(read.request);
    fixture.Succeed(read, transaction_status::kIdle);
    EXPECT(caller.Receive() == "ROW abc\r\nDONE 7.1f\r\nREADY I -\r\n");
  }
  SECTION("session values and prepared statements are kept") {
    caller.Send("QUERY 1 SET zone a b\r\nQUERY 2 PREPARE s1 WRITE q2\r\n");
    EXPECT(caller.Receive() ==
           "DONE -\r\nREADY I -\r\nDONE -\r\nREADY I -\r\n");
    caller.Send("QUERY 3 EXEC s1 1a4 x\r\n");
    caller.Receive();
    const statement_received write = fixture.TakeStatement();
    EXPECT(write.kind == statement_kind::kWrite);
    fixture.Succeed(write, transaction_status::kIdle);
    caller.Receive();
    caller.Send("QUERY 4 DEALLOC s1\r\nQUERY 5 EXEC s1 1a4 x\r\n");
    const std::string last = caller.Receive();
    EXPECT(last.find("ERR NOSTMT") != std::string::npos);
  }
  SECTION("an unknown statement is refused and the session continues") {
    caller.Send("QUERY 6 DROP everything\r\n");
    EXPECT(caller.Receive().starts_with("ERR BADMSG"));
    caller.Send("QUERY 7 SET a b\r\n");
    EXPECT(caller.Receive() == "DONE -\r\nREADY I -\r\n");
  }
}

Test(line_front, failures) {
  line_front_fixture fixture;
  bench_caller caller(fixture.loop);
  fixture.OpenSession(caller);
  const auto fail = [&](const char* line, verdict effect, const char* state) {
    caller.Send(line);
    caller.Receive();
    const statement_received statement = fixture.TakeStatement();
    fixture.front->Fail(
        {statement.caller, statement.request, {effect, state, "so"}});
    return caller.Receive();
  };
  SECTION("a statement that did not run may be retried") {
    EXPECT(fail("QUERY 1 READ a\r\n", verdict::kNotRun,
                sqlstate::kOverloaded) == "ERR BUSY so\r\nREADY I -\r\n");
  }
  SECTION("a statement of unknown outcome") {
    EXPECT(fail("QUERY 2 WRITE a b\r\n", verdict::kMayHaveRun,
                sqlstate::kOutcomeUnknown) ==
           "ERR INDOUBT so\r\nREADY I -\r\n");
  }
  SECTION("a reason with a line end does not forge an answer") {
    caller.Send("QUERY 8 READ a\r\n");
    caller.Receive();
    const statement_received read = fixture.TakeStatement();
    fixture.front->Fail({read.caller,
                         read.request,
                         {verdict::kNotRun, sqlstate::kOverloaded,
                          "HTTP 503: a\r\nDONE s.forged"}});
    EXPECT(caller.Receive() ==
           "ERR BUSY HTTP 503: a  DONE s.forged\r\nREADY I -\r\n");
  }
  SECTION("a route that was removed") {
    EXPECT(fail("QUERY 3 READ a\r\n", verdict::kNotRun,
                sqlstate::kUnknownService) == "ERR NODB so\r\nREADY I -\r\n");
  }
  SECTION("a caller ends a lost transaction without the endpoint") {
    caller.Send("QUERY 4 BEGIN\r\n");
    caller.Receive();
    const statement_received begin = fixture.TakeStatement();
    fixture.front->OnDone(begin.request, "-", transaction_status::kOpen);
    fixture.front->Release({begin.caller, begin.request, {}});
    EXPECT(caller.Receive() == "DONE -\r\nREADY T -\r\n");
    EXPECT(fail("QUERY 5 READ a\r\n", verdict::kNotRun,
                sqlstate::kTransactionLost) ==
           "ERR ABORTED so\r\nREADY E -\r\n");
    caller.Send("QUERY 6 READ a\r\n");
    EXPECT(caller.Receive().starts_with("ERR BADMSG"));
    caller.Send("QUERY 7 ROLLBACK\r\n");
    EXPECT(caller.Receive() == "DONE -\r\nREADY I -\r\n");
    EXPECT(!fixture.loop.Take<statement_received>());
    EXPECT(fixture.loop.Take<loss_acknowledged>());
  }
}

Test(line_front, bad_input_does_not_affect_other_callers) {
  line_front_fixture fixture;
  bench_caller other_caller(fixture.loop);
  fixture.OpenSession(other_caller);
  SECTION("an unknown database gets an error instead of READY") {
    bench_caller caller(fixture.loop);
    fixture.loop.SetWatcher([&fixture](const event& posted) {
      if (const auto* opened = std::get_if<caller_opened>(&posted)) {
        fixture.front->Close(
            {opened->caller,
             {verdict::kNotRun, sqlstate::kUnknownService, "none"}});
      }
    });
    caller.Send("STARTUP nowhere me\r\n");
    EXPECT(caller.Receive() == "ERR NODB none\r\n");
    fixture.loop.SetWatcher({});
  }
  SECTION("an unknown key gets an error instead of READY, once") {
    for (const char* first : {"STARTUP db wrong\r\n", "STARTUP db\r\n",
                              "STARTUP db wrong\r\nQUERY 1 READ a\r\n"}) {
      bench_caller caller(fixture.loop);
      std::string key = "none posted";
      fixture.loop.SetWatcher([&](const event& posted) {
        if (const auto* opened = std::get_if<caller_opened>(&posted)) {
          key = opened->key;
          fixture.front->Close(
              {opened->caller,
               {verdict::kNotRun, sqlstate::kUnknownKey, "no"}});
        }
      });
      caller.Send(first);
      EXPECT(caller.Receive() == "ERR NOAUTH no\r\n");
      EXPECT(key == (std::string(first) == "STARTUP db\r\n" ? "" : "wrong"));
      fixture.loop.SetWatcher({});
      while (fixture.loop.Take<statement_received>()) {
      }
    }
  }
  SECTION("a line that exceeds the maximum length") {
    bench_caller caller(fixture.loop);
    caller.Send(std::string(2000, 'x'));
    EXPECT(caller.Receive().starts_with("ERR BADMSG"));
  }
  SECTION("a statement before the startup") {
    bench_caller caller(fixture.loop);
    caller.Send("QUERY 1 READ a\r\n");
    EXPECT(caller.Receive().starts_with("ERR BADMSG"));
  }
  SECTION("a startup received one byte at a time") {
    bench_caller caller(fixture.loop);
    for (const char byte : std::string("STARTUP db me\r\n")) {
      caller.Send(std::string(1, byte));
      fixture.loop.Turn();
    }
    EXPECT(caller.Receive() == "READY I -\r\n");
  }
  SECTION("an incomplete startup times out") {
    bench_caller caller(fixture.loop);
    caller.Send("START");
    fixture.loop.Turn();
    const std::size_t before = fixture.loop.Watched();
    fixture.loop.Advance(seconds(6));
    EXPECT(fixture.loop.Watched() < before);
  }
  other_caller.Send("QUERY 9 SET a b\r\n");
  EXPECT(other_caller.Receive() == "DONE -\r\nREADY I -\r\n");
}

// Guards against a withdrawn key that looks to its caller like an overload,
// which it would retry.
Test(line_front, a_withdrawn_key_is_refused_and_the_session_closed) {
  line_front_fixture fixture;
  bench_caller caller(fixture.loop);
  fixture.OpenSession(caller);
  caller.Send("QUERY 1 READ a\r\n");
  caller.Receive();
  const statement_received read = fixture.TakeStatement();
  const failure reason{verdict::kNotRun, sqlstate::kUnknownKey, "no"};
  fixture.front->Fail({read.caller, read.request, reason});
  fixture.front->Close({read.caller, reason});
  SECTION("the statement is answered, and the next one is refused ahead") {
    EXPECT(caller.Receive() ==
           "ERR NOAUTH no\r\nREADY I -\r\nERR NOAUTH no\r\n");
  }
  SECTION("later statements do not reach the core") {
    caller.Send("QUERY 2 SET a b\r\n");
    EXPECT(caller.Receive().starts_with(kRest));
    EXPECT(!fixture.loop.Take<statement_received>());
  }
  SECTION("the connection closes") {
    const std::size_t before = fixture.loop.Watched();
    fixture.loop.Advance(kAfterRefusals);
    fixture.loop.Advance(kAfterLastStatement);
    caller.Shut();
    fixture.loop.Turn();
    fixture.loop.Turn();
    EXPECT(fixture.loop.Watched() < before);
  }
}

// Guards against statements that need no endpoint and are accepted with a
// withdrawn key, and against a withdrawal that breaks a transaction.
Test(line_front, a_withdrawn_key_is_refused_for_session_values) {
  const failure reason{verdict::kNotRun, sqlstate::kUnknownKey, "no"};
  const std::string refused = "ERR NOAUTH no\r\nREADY I -\r\nERR NOAUTH no\r\n";
  const std::string done = "DONE -\r\nREADY I -\r\n";
  for (const std::string statement :
       {"SET a b", "PREPARE s2 READ q2", "DEALLOC s1"}) {
    const story::section section(statement);
    const auto with_caller = [](const auto& action) {
      line_front_fixture fixture;
      bench_caller caller(fixture.loop);
      const caller_id id = fixture.OpenSession(caller);
      caller.Send("QUERY 1 PREPARE s1 WRITE q1\r\n");
      caller.Receive();
      action(fixture, caller, id);
    };
    SECTION("outside a transaction") {
      with_caller(
          [&](line_front_fixture& fixture, bench_caller& caller, caller_id id) {
            fixture.front->SetKey({id, reason});
            caller.Send("QUERY 2 " + statement + "\r\n");
            EXPECT(caller.Receive() == refused);
            const auto closed = fixture.loop.Take<caller_closed>();
            REQUIRE(closed.has_value());
            EXPECT(closed->caller == id);
          });
    }
    SECTION("not inside one, but after it") {
      with_caller(
          [&](line_front_fixture& fixture, bench_caller& caller, caller_id id) {
            fixture.front->SetKey({id, reason});
            caller.Send("QUERY 2 BEGIN\r\n");
            caller.Receive();
            fixture.Succeed(fixture.TakeStatement(), transaction_status::kOpen);
            caller.Receive();
            caller.Send("QUERY 3 " + statement + "\r\n");
            EXPECT(caller.Receive().starts_with("DONE -\r\n"));
            caller.Send("QUERY 4 COMMIT\r\n");
            caller.Receive();
            fixture.Succeed(fixture.TakeStatement(), transaction_status::kIdle);
            caller.Receive();
            caller.Send("QUERY 5 SET a c\r\n");
            EXPECT(caller.Receive() == refused);
          });
    }
    SECTION("not once the key is accepted again") {
      with_caller(
          [&](line_front_fixture& fixture, bench_caller& caller, caller_id id) {
            fixture.front->SetKey({id, reason});
            fixture.front->SetKey({id, std::nullopt});
            caller.Send("QUERY 2 " + statement + "\r\n");
            EXPECT(caller.Receive() == done);
          });
    }
  }
}

Test(line_front, closed_session_receives_complete_last_answer) {
  line_front_fixture fixture;
  bench_caller caller(fixture.loop);
  fixture.OpenSession(caller);
  caller.Send("QUERY 1 READ a\r\n");
  caller.Receive();
  const statement_received read = fixture.TakeStatement();
  fixture.front->Close(
      {read.caller, {verdict::kNotRun, sqlstate::kShutdown, "going"}});
  EXPECT(caller.Receive() == kRefused + kRefusedAhead);
  SECTION("a statement in transit is refused, not dropped") {
    caller.Send("QUERY 2 WRITE a b\r\n");
    EXPECT(caller.Receive() == kRest + kRefusedAhead);
    EXPECT(!fixture.loop.Take<statement_received>());
  }
  SECTION("the connection closes after the refusal period") {
    const std::size_t before = fixture.loop.Watched();
    fixture.loop.Advance(kAfterRefusals);
    EXPECT(caller.Receive().empty() && !caller.Closed());
    fixture.loop.Advance(kAfterLastStatement);
    EXPECT(caller.Receive().empty() && caller.Closed());
    caller.Shut();
    fixture.loop.Turn();
    EXPECT(fixture.loop.Watched() < before);
  }
}

Test(line_front, statements_sent_ahead_are_answered_when_the_session_closes) {
  line_front_fixture fixture;
  bench_caller caller(fixture.loop);
  fixture.OpenSession(caller);
  caller.Send("QUERY 1 READ a\r\nQUERY 2 WRITE a b\r\nQUERY 3 READ a\r\n");
  caller.Receive();
  const statement_received read = fixture.TakeStatement();
  fixture.front->Close({read.caller, kGoing});
  EXPECT(caller.Receive() == kRefused + kRefused + kRefused + kRefusedAhead);
  EXPECT(!fixture.loop.Take<statement_received>());
}

Test(line_front, a_caller_without_pauses_sees_the_end_behind_an_answer) {
  line_front_fixture fixture;
  bench_caller caller(fixture.loop);
  fixture.front->Close({fixture.OpenSession(caller), kGoing});
  fixture.loop.Advance(kAfterRefusals);
  EXPECT(caller.Receive() == kRefusedAhead);
  EXPECT(!caller.Closed());
  caller.Send("QUERY 2 READ a\r\n");
  EXPECT(caller.Receive() == kRest);
  EXPECT(caller.Closed());
  SECTION("and the session ends as soon as the caller closes") {
    const std::size_t before = fixture.loop.Watched();
    caller.Shut();
    fixture.loop.Turn();
    fixture.loop.Turn();
    EXPECT(fixture.loop.Watched() < before);
  }
}

Test(line_front, a_statement_that_takes_long_to_arrive_is_answered) {
  line_front_fixture fixture;
  bench_caller caller(fixture.loop);
  fixture.front->Close({fixture.OpenSession(caller), kGoing});
  caller.Send("QUERY 1 REA");
  fixture.loop.Turn();
  fixture.loop.Advance(kAfterRefusals);
  for (int i = 0; i < 3; ++i) {
    fixture.loop.Advance(kAfterLastStatement);
  }
  EXPECT(caller.Receive() == kRefusedAhead);
  EXPECT(!caller.Closed());
  caller.Send("D a\r\n");
  std::string answer;
  // The kernel holds the second piece until the first one is acknowledged.
  for (int i = 0; i < 50 && answer.empty(); ++i) {
    answer = caller.Receive();
  }
  EXPECT(answer == kRest);
  EXPECT(caller.Closed());
}

// Guards against statements that cross the end of their session and stay
// without an answer.
Test(line_front, an_idle_session_is_refused_ahead) {
  line_front_fixture fixture;
  bench_caller caller(fixture.loop);
  fixture.front->Close({fixture.OpenSession(caller), kGoing});
  EXPECT(caller.Receive() == kRefusedAhead);
  SECTION("a statement that was on its way gets the rest of its answer") {
    caller.Send("QUERY 1 READ a\r\n");
    EXPECT(caller.Receive() == kRest + kRefusedAhead);
  }
  SECTION("a caller that closes ends the session at once") {
    const std::size_t before = fixture.loop.Watched();
    caller.Shut();
    fixture.loop.Turn();
    fixture.loop.Turn();
    EXPECT(fixture.loop.Watched() < before);
  }
}

Test(line_front, statements_that_arrive_last_are_answered_before_the_end) {
  line_front_fixture fixture;
  bench_caller caller(fixture.loop);
  fixture.front->Close({fixture.OpenSession(caller), kGoing});
  caller.Send("QUERY 1 READ a\r\n");
  // Arrived, and not read yet, when the refusal period ends.
  fixture.loop.Advance(kAfterRefusals);
  EXPECT(caller.Receive() == kRefused);
  EXPECT(caller.Closed());
}

Test(line_front, a_closed_session_with_a_transaction) {
  line_front_fixture fixture;
  bench_caller caller(fixture.loop);
  const caller_id id = fixture.OpenSession(caller);
  caller.Send("QUERY 1 BEGIN\r\n");
  caller.Receive();
  const statement_received begin = fixture.TakeStatement();
  fixture.front->OnDone(begin.request, "-", transaction_status::kOpen);
  fixture.front->Release({begin.caller, begin.request, {}});
  caller.Receive();
  fixture.front->Close({id, kGoing});
  const std::string aborted = "ERR ABORTED going\r\n";
  EXPECT(caller.Receive() == aborted);
  SECTION("its statements fail") {
    caller.Send("QUERY 2 READ a\r\n");
    EXPECT(caller.Receive() == "READY E -\r\n" + aborted);
  }
  SECTION("its end is acknowledged") {
    caller.Send("QUERY 3 ROLLBACK\r\n");
    EXPECT(caller.Receive() == kRest + kRefusedAhead);
  }
}

Test(line_front, ends_with_its_sessions) {
  line_front_fixture fixture;
  bench_caller open(fixture.loop);
  const caller_id id = fixture.OpenSession(open);
  bench_caller silent(fixture.loop);
  fixture.loop.Turn();
  bench_caller unaccepted(fixture.loop);
  bool ended = false;
  fixture.front->Close({id, kGoing});
  fixture.front->EndWithSessions([&ended] { ended = true; });
  fixture.loop.Advance(kAfterRefusals);
  fixture.loop.Advance(kAfterLastStatement);
  SECTION("not while a session is open") {
    open.Receive();
    EXPECT(open.Closed() && !ended);
    open.Shut();
  }
  SECTION("a connection that waited to be accepted gets its answers") {
    unaccepted.Send("STARTUP db me\r\nQUERY 1 READ a\r\n");
    EXPECT(unaccepted.Receive() == "READY I -\r\n");
    const statement_received read = fixture.TakeStatement();
    fixture.front->Close({read.caller, kGoing});
    EXPECT(unaccepted.Receive() == kRefused + kRefusedAhead);
    fixture.loop.Advance(kAfterRefusals);
    fixture.loop.Advance(kAfterLastStatement);
    unaccepted.Receive();
    EXPECT(unaccepted.Closed());
    unaccepted.Shut();
  }
  SECTION("a connection without a startup is dismissed with an answer") {
    silent.Receive();
    EXPECT(!silent.Closed() && !ended);
    fixture.front->DismissSessions(kGoing);
    silent.Send("STARTUP db me\r\n");
    EXPECT(silent.Receive() == kRefusedAhead);
    EXPECT(silent.Closed());
    silent.Shut();
  }
  for (int turn = 0; turn < 5; ++turn) {
    fixture.loop.Turn();
  }
  fixture.loop.Advance(duration{0});
  EXPECT(ended);
}

Test(line_front, reports_what_the_end_of_a_session_leaves_undone) {
  line_front_fixture fixture;
  recording_observer observer;
  fixture.front->SetObserver(&observer);
  bench_caller caller(fixture.loop);
  fixture.OpenSession(caller);
  caller.Send("QUERY 77 READ a\r\n");
  caller.Receive();
  SECTION("a caller that leaves") {
    caller.Shut();
    fixture.loop.Turn();
    fixture.loop.Turn();
  }
  REQUIRE(observer.cuts.size() == 1);
  EXPECT(observer.cuts[0] == "77");
  EXPECT(observer.cause == shell::close_cause::kCaller);
  fixture.front->SetObserver(nullptr);
}

}  // namespace marjoramslip::lines
