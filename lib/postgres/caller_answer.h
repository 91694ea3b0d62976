// The answer to one statement on its way to a caller.

#ifndef MARJORAMSLIP_LIB_POSTGRES_CALLER_ANSWER_H_
#define MARJORAMSLIP_LIB_POSTGRES_CALLER_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "marjoramslip/base/verdict.h"
#include "marjoramslip/runtime/stream_connection.h"
#include "marjoramslip/wire/messages.h"

namespace marjoramslip::shell {

/// Appends an error whose detail names the verdict after its own.
void AppendErrorWithVerdict(std::string& out, wire::error_fields fields,
                            verdict effect);

/// Why an answer cannot be given whole.
struct answer_fault {
  std::string_view sqlstate;
  std::string_view message;
};

/// Lets rows through and keeps what follows the first command tag or error
/// until it is released. Short answers stay together, so that nothing of them
/// has left if the statement must be tried again.
class caller_answer {
 public:
  /// Rows wait until there are `together` bytes; at most `held_limit` bytes
  /// are kept.
  caller_answer(stream_connection& connection, std::size_t together,
                std::size_t held_limit)
      : connection_(connection), together_(together), held_limit_(held_limit) {}

  /// A new statement: nothing of its answer is there yet. An error of the
  /// endpoint leaves the effect `failed`.
  void Start(verdict failed);
  /// Forgets what an earlier attempt delivered.
  void Restart();

  void Columns(std::span<const wire::column> columns);
  void Row(std::span<const wire::cell> cells);
  void Tag(std::string_view tag);
  void ServerError(const wire::error_fields& fields);
  void Notice(const wire::error_fields& fields);

  /// True if the answer ends with an error of the endpoint.
  bool Failed() const { return failed_; }
  /// What is known of the effect if the statement failed.
  verdict EffectOfFailure() const { return effect_; }
  /// True if it ends with a tag or an error.
  bool Ended() const { return holding_; }
  /// Why the answer cannot be given whole; null if it can.
  const answer_fault* Fault() const { return fault_; }

  /// Bytes that are kept.
  std::size_t HeldBytes() const { return held_.size(); }

  /// Appends what was kept to the output.
  void Release();
  /// Drops what was kept.
  void Discard();

 private:
  std::string& Target() { return holding_ ? held_ : connection_.Output(); }
  void Sent();

  stream_connection& connection_;
  std::size_t together_;
  std::size_t held_limit_;
  std::string held_;
  verdict effect_ = verdict::kNotRun;  ///< Of a statement that failed.
  std::uint64_t start_ = 0;
  bool holding_ = false;
  bool failed_ = false;
  const answer_fault* fault_ = nullptr;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_POSTGRES_CALLER_ANSWER_H_
