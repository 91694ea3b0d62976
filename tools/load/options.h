// What a run is to do.

#ifndef MARJORAMSLIP_TOOLS_LOAD_OPTIONS_H_
#define MARJORAMSLIP_TOOLS_LOAD_OPTIONS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace load {

/// How a caller's session is carried from one connection to another.
enum class session_mode : std::uint8_t {
  kConnection,  ///< Not at all.
  kToken,       ///< By the token of the last answer.
  kNamed,       ///< By the session's name.
};

/// All options of a run.
struct load_options {
  std::vector<std::string> targets;  ///< Instances, "host:port".
  std::vector<std::string> metrics;  ///< Their metrics, "host:port".
  std::string verify;  ///< Where to read at the end; empty: the targets.
  std::string service = "tollau-ledger";
  std::string json_file;
  std::string history_file;
  std::uint32_t tenants = 4;
  std::uint32_t callers = 16;
  double rate = 0;  ///< Operations a second of all callers; 0: closed loop.
  std::chrono::seconds length{10};
  double read_share = 0.9;
  double staleness_share = 0.5;    ///< Of the reads, with a stated age.
  double increment_share = 0.2;    ///< Of the writes.
  double transaction_share = 0.1;  ///< Of the writes.
  double keyed_share = 0;          ///< Of inserts and increments.
  std::chrono::milliseconds max_staleness{2000};
  std::chrono::milliseconds timeout{15'000};
  session_mode session = session_mode::kConnection;
  double roam = 0;  ///< Chance to switch instance between operations.
  std::uint64_t seed = 1;
};

}  // namespace load

#endif  // MARJORAMSLIP_TOOLS_LOAD_OPTIONS_H_
