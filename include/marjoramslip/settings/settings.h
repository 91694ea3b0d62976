// An instance's settings: JSON with comments, checked whole.

#ifndef MARJORAMSLIP_SETTINGS_SETTINGS_H_
#define MARJORAMSLIP_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "marjoramslip/base/result.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip {

/// Where a server listens.
struct listen_address {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  /// Added to `port` when the settings are read, for platforms that give the
  /// first port of a range.
  std::uint16_t port_offset = 0;
};

/// How a log line looks.
enum class log_format : std::uint8_t { kText, kJson };

/// When and where statements are forwarded; see core_options.
struct carrier_settings {
  std::uint32_t min_connections_per_instance = 2;
  std::uint32_t per_domain = 2;
};

/// All settings of an instance.
struct instance_settings {
  std::string name;
  std::string failure_domain;
  listen_address callers;
  listen_address peers;
  listen_address metrics;
  /// Where a balancer asks whether this instance takes callers; port 0: not
  /// asked.
  listen_address readiness;
  /// Where other instances send statements of the groups that this one carries;
  /// port 0: statements are not forwarded.
  listen_address forwarding;
  carrier_settings carriers;
  /// The part of the machine's processors that this instance may use, in
  /// thousandths of a core; 0: not known.
  std::uint32_t processor_share = 0;
  /// The key-value service's addresses, "http://host:port".
  std::vector<std::string> key_value_service;
  /// Where an endpoint is made the primary of its service, if the endpoints
  /// themselves don't take that command: "http://host:port", or empty.
  std::string promotion_service;
  /// Prefix of every key.
  std::string key_prefix = "/marjoramslip/";
  log_format logs = log_format::kText;
  std::string log_level = "info";
  /// What endpoints are asked as: user and database.
  std::string endpoint_user = "marjoramslip";
  std::string endpoint_password;

  // Limits towards callers.
  std::uint32_t max_callers = 2000;
  std::uint32_t max_message_bytes = 1U << 20U;
  std::uint32_t answer_buffer_bytes = 256U << 10U;
  duration startup_timeout = std::chrono::seconds(5);
  duration write_stall_timeout = std::chrono::seconds(30);
  /// For the rest of a message once a part of it has arrived.
  duration message_timeout = std::chrono::seconds(30);
  /// Values and prepared names of one session.
  std::uint32_t session_state_bytes = 2U << 20U;
  /// The machine's memory in MiB; 0: not known, the sum of the sessions' memory
  /// is not limited.
  std::uint32_t memory_limit = 0;
  /// The part of it that callers' sessions may hold together.
  std::uint32_t caller_memory_percent = 40;
  /// Descriptors that callers leave to endpoints, peers and the store.
  std::uint32_t descriptor_reserve = 128;
  /// Longest message of another instance.
  std::uint32_t peer_message_bytes = 64U << 20U;

  // Limits of decisions; see core_options.
  duration permit = std::chrono::milliseconds(300);
  duration permit_wait = std::chrono::milliseconds(330);
  duration probe_interval = std::chrono::milliseconds(100);
  duration probe_timeout = std::chrono::milliseconds(250);
  duration connect_timeout = std::chrono::milliseconds(400);
  duration statement_timeout = std::chrono::seconds(2);
  std::uint32_t suspicion_quorum = 2;
  std::uint32_t queue_limit = 1000;
  duration drain_limit = std::chrono::seconds(20);
  /// The part of it in which callers are served as before, while balancers
  /// learn that this instance is no longer ready.
  duration drain_notice{};
  std::chrono::seconds membership_lease{5};
};

/// One thing wrong with a document.
struct fault {
  std::string path;     ///< Such as "callers.port"; empty for the whole.
  std::string message;  ///< What is wrong and what is allowed.
};

/// The settings, or every fault found. Unknown keys are faults that name the
/// nearest known key.
struct checked_settings {
  instance_settings value;
  std::vector<fault> faults;
};

/// Checks settings as text.
checked_settings ParseSettings(std::string_view text);

/// Reads and checks a file. A file that cannot be read is one fault.
checked_settings LoadSettings(const std::string& path);

}  // namespace marjoramslip

#endif  // MARJORAMSLIP_SETTINGS_SETTINGS_H_
