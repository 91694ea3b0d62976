// One caller: writes rows, reads them back and checks what it was promised.

#ifndef MARJORAMSLIP_TOOLS_LOAD_CALLER_H_
#define MARJORAMSLIP_TOOLS_LOAD_CALLER_H_

#include <random>
#include <string>
#include <vector>

#include "history.h"
#include "link.h"
#include "options.h"

namespace load {

/// What all callers of a run share.
struct shared_run {
  const load_options& options;
  write_board board;
  std::string name;  ///< Prefix of all callers' names, unique to the run.
  monotonic start;
  monotonic end;
};

/// How the callers of a tenant connect to `target`.
link_options LinkOptions(const load_options& options, const std::string& target,
                         const std::string& tenant, const std::string& name);

/// The tenant of a caller.
std::string TenantOf(const load_options& options, std::size_t caller);

/// A caller; runs on a thread of its own.
class caller {
 public:
  caller(shared_run& run, std::size_t index);

  /// Asks until the run ends.
  void Run();

  caller_history& History() { return history_; }

 private:
  /// A connection to one target and what has been set on it.
  struct place {
    explicit place(link_options options) : connection(std::move(options)) {}

    link connection;
    bool aged = false;
  };

  void WaitUntil(monotonic due);
  void Roam();
  void RunOne(monotonic due);
  operation_kind Choose();

  operation Read();
  operation AgedRead();
  operation Insert();
  operation Increment();
  operation Transaction();
  operation WriteAlone(operation_kind kind, std::int64_t seq,
                       const std::string& text);

  reply Ask(const std::string& text, bool aged = false);
  reply AskKeyed(const std::string& text, const std::string& key);
  /// Brings the connection's settings to what the next statement needs.
  reply Prepare(bool aged);
  reply Set(const std::string& name, const std::string& value);
  void NoteAnswer(operation& one, const reply& answer);
  void Acknowledge(std::int64_t seq, std::int64_t written_us);
  void CheckEcho(const reply& answer, const std::string& expected);
  void Violation(const std::string& what);
  void BackOff(const reply& answer);

  std::string InsertText(std::int64_t seq, std::int64_t written_us) const;
  std::string RowId(std::int64_t seq) const;
  std::int64_t NextWritten();
  bool Chance(double share);

  shared_run& run_;
  const load_options& options_;
  std::size_t index_;
  std::mt19937_64 random_;
  caller_history history_;
  std::vector<place> places_;
  std::size_t target_ = 0;
  std::string token_;
  bool carry_token_ = false;
  std::int64_t next_seq_ = 1;
  std::int64_t acknowledged_ = 0;
  std::int64_t last_written_us_ = 0;
  std::uint64_t reads_ = 0;
  std::chrono::milliseconds back_off_{0};
};

}  // namespace load

#endif  // MARJORAMSLIP_TOOLS_LOAD_CALLER_H_
