// Tests of matching answers to statements, by hand-made streams and by random
// ones.

#include "answer_matcher.h"

#include <deque>
#include <random>
#include <string>
#include <vector>

#include "story.h"

namespace marjoramslip::lines {
namespace {

using enum transaction_status;

constexpr int kMarkers = 2;
constexpr int kConfirmingMarkers = 4;

whole_answer Signed(std::string_view text, transaction_status status = kIdle) {
  return {.end = answer_end::kSigned, .text = text, .transaction = status};
}
whole_answer Error(std::string_view text, transaction_status status = kIdle) {
  return {.end = answer_end::kError, .text = text, .transaction = status};
}
whole_answer Unsigned(transaction_status status = kIdle) {
  return {.end = answer_end::kUnsigned, .transaction = status};
}

/// An endpoint that answers in order and sends answers again at any time.
class stuttering_endpoint {
 public:
  explicit stuttering_endpoint(std::uint64_t seed) : random_(seed) {}

  struct answer {
    answer_end end = answer_end::kUnsigned;
    std::string text;
    transaction_status status = kIdle;
  };

  /// Runs a statement that a caller sends; returns its true answer.
  answer Run(statement_kind kind) {
    answer made{answer_end::kSigned, "s" + std::to_string(++last_), status_};
    if (kind == statement_kind::kRollback) {
      made = {answer_end::kUnsigned, "", status_ = kIdle};
    } else if (Chance(0.3)) {
      const bool ends = status_ == kIdle || kind == statement_kind::kCommit;
      status_ = ends ? kIdle : kFailed;
      made = {answer_end::kError, Chance(0.5) ? "BUSY" : "LAGGING", status_};
    } else if (kind == statement_kind::kBegin) {
      made = {answer_end::kUnsigned, "", status_ = kOpen};
    } else if (kind == statement_kind::kCommit) {
      made.status = status_ = kIdle;
    }
    pending_.push_back(made);
    return made;
  }
  /// Runs statements of the instance.
  void RunOwn(int count) {
    for (int i = 0; i < count; ++i) {
      pending_.push_back(status_ == kFailed
                             ? answer{answer_end::kError, "BADMSG", kFailed}
                             : answer{answer_end::kUnsigned, "", status_});
    }
  }
  /// The next answer on the stream; `may_repeat` allows one of before.
  answer Next(bool may_repeat) {
    if (pending_.empty() || (may_repeat && !sent_.empty() && Chance(0.3))) {
      ++repeats_;
      return sent_[random_() % sent_.size()];
    }
    sent_.push_back(pending_.front());
    pending_.pop_front();
    return sent_.back();
  }
  bool HasPending() const { return !pending_.empty(); }
  bool Chance(double share) {
    return std::bernoulli_distribution(share)(random_);
  }
  transaction_status Status() const { return status_; }
  int Repeats() const { return repeats_; }

 private:
  std::mt19937_64 random_;
  transaction_status status_ = kIdle;
  std::deque<answer> pending_;
  std::vector<answer> sent_;
  int last_ = 0;
  int repeats_ = 0;
};

/// What became of a connection.
struct connection_run {
  int answered = 0;
  int wrong = 0;  ///< Statements that were given another answer than theirs.
  int repeats = 0;
  bool closed = false;  ///< The connection was given up.
};

statement_kind NextKind(stuttering_endpoint& endpoint) {
  switch (endpoint.Status()) {
    case kIdle:
      return endpoint.Chance(0.3)   ? statement_kind::kBegin
             : endpoint.Chance(0.5) ? statement_kind::kWrite
                                    : statement_kind::kRead;
    case kOpen:
      return endpoint.Chance(0.3)   ? statement_kind::kCommit
             : endpoint.Chance(0.2) ? statement_kind::kRollback
                                    : statement_kind::kRead;
    case kFailed:
      break;
  }
  return statement_kind::kRollback;
}

/// Sends statements over one connection. Each sees up to `most` repeated
/// answers before its own is decided, and any number come in between.
connection_run RunConnection(std::uint64_t seed, int most) {
  constexpr int kStatements = 60;
  stuttering_endpoint endpoint(seed);
  answer_matcher matcher;
  connection_run run;
  const auto match = [&](bool may_repeat) {
    const auto next = endpoint.Next(may_repeat);
    return std::pair(next, matcher.Match({.end = next.end,
                                          .text = next.text,
                                          .transaction = next.status}));
  };
  for (int i = 0; i < kStatements && !run.closed; ++i) {
    const statement_kind kind = NextKind(endpoint);
    const int own =
        endpoint.Status() != kFailed && endpoint.Chance(0.2) ? 1 : 0;
    const int markers = kind == statement_kind::kBegin ? kMarkers : 0;
    endpoint.RunOwn(own);
    const auto truth = endpoint.Run(kind);
    endpoint.RunOwn(markers);
    matcher.OnSent(kind, own, markers);
    const int before = endpoint.Repeats();
    stuttering_endpoint::answer kept;
    for (bool decided = false; !decided && !run.closed;) {
      cr_assert(endpoint.HasPending(), "a statement is left without an answer");
      const auto [next, use] = match(endpoint.Repeats() - before < most);
      run.closed = use == answer_use::kOutOfStep;
      if (use == answer_use::kKept) {
        kept = next;
      }
      decided = use == answer_use::kFinal || use == answer_use::kKeptIsFinal;
      if (decided) {
        const auto& given = use == answer_use::kFinal ? next : kept;
        ++run.answered;
        run.wrong += given.end != truth.end || given.text != truth.text ? 1 : 0;
      }
      if (matcher.NeedsMarkers()) {
        endpoint.RunOwn(kConfirmingMarkers);
        matcher.OnMarkersSent(kConfirmingMarkers);
      }
    }
    while (!run.closed && (endpoint.HasPending() && endpoint.Chance(0.5))) {
      run.closed = match(true).second == answer_use::kOutOfStep;
    }
  }
  run.repeats = endpoint.Repeats();
  return run;
}

connection_run RunConnections(int count, int most) {
  connection_run sum;
  for (int seed = 1; seed <= count; ++seed) {
    const connection_run one =
        RunConnection(static_cast<std::uint64_t>(seed), most);
    sum.answered += one.answered;
    sum.wrong += one.wrong;
    sum.repeats += one.repeats;
  }
  return sum;
}

}  // namespace

Test(answer_matcher, matches_answers_in_order) {
  answer_matcher matcher;
  SECTION("answers to statements of the instance precede the statement's") {
    matcher.OnSent(statement_kind::kRead, 2, 0);
    EXPECT(!matcher.IsStatementDue());
    EXPECT(matcher.Match(Unsigned()) == answer_use::kOwn);
    EXPECT(matcher.Match(Unsigned()) == answer_use::kOwn);
    EXPECT(matcher.IsStatementDue());
    EXPECT(matcher.Match(Signed("a")) == answer_use::kFinal);
    EXPECT(!matcher.IsDue());
  }
  SECTION("an error that was not seen before is certain") {
    matcher.OnSent(statement_kind::kWrite, 0, 0);
    EXPECT(matcher.Match(Error("BUSY")) == answer_use::kFinal);
  }
  SECTION("session state that was not applied ends the connection") {
    matcher.OnSent(statement_kind::kRead, 1, 0);
    EXPECT(matcher.Match(Error("BUSY")) == answer_use::kOutOfStep);
  }
}

Test(answer_matcher, a_repeated_answer_is_not_that_of_the_next_statement) {
  answer_matcher matcher;
  matcher.OnSent(statement_kind::kRead, 0, 0);
  matcher.Match(Signed("a"));
  SECTION("signed, between two statements") {
    EXPECT(matcher.Match(Signed("a")) == answer_use::kIgnored);
    EXPECT(matcher.Match(Signed("b")) == answer_use::kOutOfStep);
  }
  SECTION("signed, while the next statement is in progress") {
    matcher.OnSent(statement_kind::kWrite, 0, 0);
    EXPECT(matcher.Match(Signed("a")) == answer_use::kIgnored);
    EXPECT(matcher.NeedsMarkers());
    matcher.OnMarkersSent(kMarkers);
    EXPECT(matcher.Match(Signed("c")) == answer_use::kFinal);
    EXPECT(matcher.Match(Unsigned()) == answer_use::kOwn);
    EXPECT(matcher.Match(Unsigned()) == answer_use::kOwn);
    EXPECT(!matcher.IsDue());
  }
  SECTION("an endpoint that signs two answers alike does not hold a caller") {
    matcher.OnSent(statement_kind::kRead, 0, 0);
    EXPECT(matcher.Match(Signed("c")) == answer_use::kIgnored);
    matcher.OnMarkersSent(kMarkers);
    EXPECT(matcher.Match(Unsigned()) == answer_use::kIgnored);
    EXPECT(matcher.Match(Unsigned()) == answer_use::kOutOfStep);
  }
}

Test(answer_matcher,
     a_repeated_refusal_is_no_promise_about_the_next_statement) {
  answer_matcher matcher;
  matcher.OnSent(statement_kind::kWrite, 0, 0);
  EXPECT(matcher.Match(Error("BUSY")) == answer_use::kFinal);
  matcher.OnSent(statement_kind::kWrite, 0, 0);
  EXPECT(matcher.Match(Error("BUSY")) == answer_use::kKept);
  REQUIRE(matcher.NeedsMarkers());
  matcher.OnMarkersSent(kMarkers);
  SECTION("the write ran: its own answer precedes those of the markers") {
    answer_matcher ran = matcher;
    EXPECT(ran.Match(Signed("w")) == answer_use::kFinal);
    EXPECT(ran.IsDue());
  }
  SECTION("the write was refused") {
    answer_matcher refused = matcher;
    EXPECT(refused.Match(Unsigned()) == answer_use::kOwn);
    EXPECT(refused.Match(Unsigned()) == answer_use::kKeptIsFinal);
    EXPECT(!refused.IsDue());
  }
  SECTION("one repeated answer to a marker does not confirm it") {
    answer_matcher twice = matcher;
    EXPECT(twice.Match(Unsigned()) == answer_use::kOwn);
    EXPECT(twice.Match(Signed("w")) == answer_use::kFinal);
  }
  SECTION("two different refusals that were both seen before") {
    answer_matcher other;
    for (const char* text : {"BUSY", "LAGGING"}) {
      other.OnSent(statement_kind::kRead, 0, 0);
      EXPECT(other.Match(Error(text)) == answer_use::kFinal);
    }
    other.OnSent(statement_kind::kRead, 0, 0);
    EXPECT(other.Match(Error("BUSY")) == answer_use::kKept);
    EXPECT(other.Match(Error("LAGGING")) == answer_use::kOutOfStep);
  }
}

Test(answer_matcher, a_repeated_begin_does_not_open_a_transaction) {
  answer_matcher matcher;
  matcher.OnSent(statement_kind::kBegin, 0, kMarkers);
  EXPECT(matcher.Match(Unsigned(kOpen)) == answer_use::kKept);
  SECTION("it is confirmed by the markers behind it") {
    answer_matcher begun = matcher;
    EXPECT(begun.Match(Unsigned(kOpen)) == answer_use::kOwn);
    EXPECT(begun.Match(Unsigned(kOpen)) == answer_use::kKeptIsFinal);
  }
  SECTION("its refusal follows") {
    EXPECT(matcher.Match(Error("READONLY")) == answer_use::kOutOfStep);
  }
  SECTION("an answer from outside a transaction is not a BEGIN's") {
    answer_matcher idle;
    idle.OnSent(statement_kind::kBegin, 0, kMarkers);
    EXPECT(idle.Match(Unsigned(kIdle)) == answer_use::kIgnored);
    EXPECT(idle.Match(Unsigned(kOpen)) == answer_use::kKept);
  }
}

Test(answer_matcher, a_commit_succeeds_only_by_its_own_signature) {
  answer_matcher matcher;
  const auto read_in_transaction = [&matcher](const whole_answer& answer) {
    matcher.OnSent(statement_kind::kBegin, 0, kMarkers);
    for (int i = 0; i <= kMarkers; ++i) {
      matcher.Match(Unsigned(kOpen));
    }
    matcher.OnSent(statement_kind::kRead, 0, 0);
    EXPECT(matcher.Match(answer) == answer_use::kFinal);
  };
  read_in_transaction(Signed("r", kOpen));
  matcher.OnSent(statement_kind::kCommit, 0, 0);
  EXPECT(matcher.Match(Unsigned(kIdle)) == answer_use::kIgnored);
  EXPECT(matcher.Match(Signed("r", kOpen)) == answer_use::kIgnored);
  EXPECT(matcher.Match(Signed("c")) == answer_use::kFinal);
  SECTION("unless the transaction has failed: then it rolls back") {
    read_in_transaction(Error("FAILED", kFailed));
    matcher.OnSent(statement_kind::kCommit, 0, 0);
    EXPECT(matcher.Match(Unsigned(kIdle)) == answer_use::kFinal);
  }
}

Test(answer_matcher, an_answer_that_began_before_the_statement_is_not_its_own) {
  answer_matcher matcher;
  matcher.OnSent(statement_kind::kBegin, 0, 0);
  whole_answer early = Unsigned(kOpen);
  early.began_unrequested = true;
  EXPECT(matcher.Match(early) == answer_use::kIgnored);
  EXPECT(matcher.Match({.end = answer_end::kNone}) == answer_use::kIgnored);
  EXPECT(matcher.IsStatementDue());
}

Test(answer_matcher, random_streams) {
  constexpr int kConnections = 2000;
  SECTION("up to two repeated answers before each answer: none is wrong") {
    const connection_run run = RunConnections(kConnections, 2);
    EXPECT(run.wrong == 0);
    EXPECT(run.answered > kConnections);
    EXPECT(run.repeats > kConnections);
    cr_log_info("%d answers, %d repeated", run.answered, run.repeats);
  }
}

}  // namespace marjoramslip::lines
