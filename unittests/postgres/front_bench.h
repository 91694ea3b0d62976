// A caller front on a loop with virtual time, for tests.

#ifndef MARJORAMSLIP_UNITTESTS_SHELL_FRONT_BENCH_H_
#define MARJORAMSLIP_UNITTESTS_SHELL_FRONT_BENCH_H_

#include <memory>
#include <string>
#include <string_view>

#include "caller_bench.h"
#include "criterion/criterion.h"
#include "marjoramslip/postgres/postgres_front.h"

namespace marjoramslip::shell {

inline bool Has(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

/// A front with small limits, and callers that are in.
struct bench : flow_listener {
  explicit bench(std::uint32_t max_callers = 2) {
    instance_settings settings;
    settings.name = "one";
    settings.max_callers = max_callers;
    settings.max_message_bytes = 1000;
    settings.answer_buffer_bytes = 4000;
    settings.session_state_bytes = 1500;
    settings.memory_limit = 1;
    settings.startup_timeout = std::chrono::seconds(5);
    settings.write_stall_timeout = std::chrono::seconds(30);
    front =
        leaf::try_handle_all([&] { return MakePostgresFront(settings, loop); },
                             [] { return std::unique_ptr<postgres_front>(); });
    front->SetFlowListener(this);
  }
  void OnCallerReady(request_id request) override { ready = request; }

  /// Lets a caller in and forgets its greeting.
  caller_id Enter(bench_caller& caller) {
    caller.Send(Startup({{"user", "u"}, {"database", "d"}}));
    greeting = caller.Receive();
    return loop.Take<caller_opened>().value_or(caller_opened{}).caller;
  }
  /// The statement that was posted, which must be there.
  statement_received Statement() {
    const auto found = loop.Take<statement_received>();
    cr_assert(found.has_value(), "no statement was posted");
    return *found;
  }
  void Release(const statement_received& what, log_point floor = {}) {
    front->Release({what.caller, what.request, floor});
  }
  void Fail(const statement_received& what, verdict effect) {
    front->Fail({what.caller, what.request, {effect, "57014", "gone"}});
  }
  void Row(const statement_received& what, const std::string& value) {
    const wire::cell cell = value;
    front->OnRow(what.request, std::span(&cell, 1));
  }
  /// Answers with a tag alone.
  void Finish(const statement_received& what, std::string_view tag) {
    front->OnCommandTag(what.request, tag);
    Release(what);
  }

  bench_loop loop;
  std::unique_ptr<postgres_front> front;
  std::string greeting;
  request_id ready;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_UNITTESTS_SHELL_FRONT_BENCH_H_
