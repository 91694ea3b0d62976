// Sends any bytes to a session of the line protocol through its socket, in
// pieces that the input chooses. The front must not fail, must hold no more
// than its limits allow, and must serve another caller afterwards. Statements
// are answered, refused or left open, as the input says.

#include <Poco/Net/StreamSocket.h>
#include <poll.h>

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>

#include "line_words.h"
#include "marjoramslip/core/sqlstates.h"
#include "marjoramslip/lines/line_front.h"
#include "postgres/caller_bench.h"

namespace marjoramslip::lines {
namespace {

constexpr std::size_t kMessageBytes = 512;
constexpr std::size_t kStateBytes = 1024;
constexpr std::size_t kAnswerBytes = 1024;
/// A message with its copies, the values, the unsent answers, one read of the
/// socket and the session itself.
constexpr std::size_t kMaxSessionBytes =
    4 * kMessageBytes + kStateBytes + 4 * kAnswerBytes + (80U << 10U);

void Check(bool holds) {
  if (!holds) {
    std::abort();
  }
}

instance_settings Settings() {
  instance_settings settings;
  settings.name = "fuzz";
  settings.max_message_bytes = kMessageBytes;
  settings.session_state_bytes = kStateBytes;
  settings.answer_buffer_bytes = kAnswerBytes;
  settings.memory_limit = 1;
  return settings;
}

/// What becomes of a statement, by a byte of the input.
void Decide(line_front& front, const statement_received& statement,
            std::uint8_t choice) {
  constexpr std::uint8_t kChoices = 5;
  switch (choice % kChoices) {
    case 0:
      front.OnAttempt(statement.request);
      front.OnRow(statement.request, "ROW value");
      front.OnDone(statement.request, "1.1", transaction_status::kOpen);
      front.Release({statement.caller, statement.request, {}});
      return;
    case 1:
      front.OnAttempt(statement.request);
      front.OnDone(statement.request, "1.1", transaction_status::kIdle);
      front.Release({statement.caller, statement.request, {}});
      return;
    case 2:
      front.Fail({statement.caller,
                  statement.request,
                  {verdict::kNotRun, sqlstate::kOverloaded, "busy"}});
      return;
    case 3:
      front.Close(
          {statement.caller, {verdict::kNotRun, sqlstate::kShutdown, "going"}});
      return;
    default:
      return;  // It stays open.
  }
}

void Feed(shell::bench_loop& loop, line_front& front, std::string_view bytes) {
  constexpr std::size_t kMaxPieceBytes = 64;
  shell::bench_caller caller(loop);
  std::size_t next = 0;
  while (next + 1 < bytes.size() && !caller.Closed()) {
    const auto choice = static_cast<std::uint8_t>(bytes[next++]);
    const std::string piece(bytes.substr(next, 1 + choice % kMaxPieceBytes));
    next += piece.size();
    caller.SendSome(piece, 0);
    loop.Turn();
    if (const auto statement = loop.Take<statement_received>()) {
      Decide(front, *statement, choice);
    }
    Check(front.MemoryBytes() <= kMaxSessionBytes);
  }
  caller.Shut();
}

}  // namespace
}  // namespace marjoramslip::lines

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace lines = marjoramslip::lines;
  static marjoramslip::shell::bench_loop loop;
  static const auto kCodec = marjoramslip::platform::MakePlatformLineCodec();
  static const auto kFront = boost::leaf::try_handle_all(
      [] { return lines::MakeLineFront(lines::Settings(), loop, *kCodec); },
      []() -> std::unique_ptr<lines::line_front> { std::abort(); });
  lines::Feed(loop, *kFront,
              std::string_view(reinterpret_cast<const char*>(data), size));
  // The session ends with its caller, and nothing of it is kept.
  constexpr int kTurns = 20;
  for (int i = 0; i < kTurns && kFront->MemoryBytes() > 0; ++i) {
    loop.Turn();
  }
  lines::Check(kFront->MemoryBytes() == 0);
  loop.ForgetPosted();
  marjoramslip::shell::bench_caller other(loop);
  other.Send("STARTUP db me\r\nQUERY 1 SET a b\r\nQUIT\r\n");
  lines::Check(other.Receive() == "READY I -\r\nDONE -\r\nREADY I -\r\n");
  return 0;
}
