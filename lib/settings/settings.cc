// The table of an instance's settings and what must hold between them.

#include "marjoramslip/settings/settings.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <cmath>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>
#include <utility>

#include "marjoramslip/json/fields.h"

namespace marjoramslip {
namespace {

using json::Duration;
using json::Field;
using json::Integer;
using json::presence;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Ports of the range that a platform gives an instance.
constexpr std::uint16_t kMaxPortOffset = 100;
constexpr std::size_t kMaxTextBytes = 1024;
constexpr std::size_t kMaxAddresses = 16;
constexpr std::uint32_t kMaxCallers = 1'000'000;
constexpr std::uint32_t kMinBufferBytes = 1U << 10U;
constexpr std::uint32_t kMaxBufferBytes = 1U << 28U;
constexpr std::uint32_t kMaxMemoryMebibytes = 1U << 20U;
constexpr std::uint32_t kMaxCallerMemoryPercent = 90;
constexpr std::uint32_t kMaxDescriptors = 1'000'000;
/// A catalogue of some hundred endpoints and accounts fits.
constexpr std::uint32_t kMinPeerMessageBytes = 256U << 10U;
/// A message is held in the input, as a statement and on its way to the
/// endpoint; one more leaves room for other callers.
constexpr std::uint64_t kMessagesInMemory = 4;
constexpr std::uint32_t kMebibyteBits = 20;
constexpr std::uint64_t kPercent = 100;
constexpr std::uint32_t kMaxQuorum = 100;
constexpr std::uint32_t kMaxQueue = 1'000'000;
constexpr std::uint32_t kMaxConnectionsPerInstance = 10'000;
constexpr std::uint32_t kMaxCarriersPerDomain = 100;
constexpr double kThousandths = 1000;
constexpr double kMaxCores = 1024;
/// Clocks that differ by no more than this are what a permit allows for.
constexpr int kDriftPercent = 10;

std::string UrlFault(const std::string& text) {
  static const std::string kAllowed = "must be \"http://host:port\"";
  try {
    const Poco::URI uri(text);
    const bool sound = uri.getScheme() == "http" && !uri.getHost().empty() &&
                       uri.getPathAndQuery().empty() &&
                       uri.getUserInfo().empty() && uri.getPort() != 0;
    return sound ? "" : kAllowed;
  } catch (const Poco::Exception&) {
    return kAllowed;
  }
}

std::string PrefixFault(const std::string& text) {
  const bool sound = text.size() >= 2 && text.size() <= kMaxTextBytes &&
                     text.front() == '/' && text.back() == '/';
  return sound ? "" : "must begin and end with '/'";
}

const json::shape<listen_address>& AddressShape() {
  static const json::shape<listen_address> kShape = {
      Field("host", &listen_address::host, json::Text(1, kMaxTextBytes)),
      // Port 0 takes any free port.
      Field("port", &listen_address::port, Integer<std::uint16_t>(),
            presence::kRequired),
      Field("port_offset", &listen_address::port_offset,
            Integer<std::uint16_t>(0, kMaxPortOffset)),
  };
  return kShape;
}

/// An address as an object, or as the text "host:port".
json::codec<listen_address> AddressCodec() {
  const auto object = json::Record(AddressShape());
  auto read = [object](const json::Var& var, const json::place& at,
                       listen_address& into) {
    if (!var.isString()) {
      object.read(var, at, into);
      into.port = static_cast<std::uint16_t>(into.port + into.port_offset);
      into.port_offset = 0;
      return;
    }
    try {
      const Poco::URI uri("tcp://" + var.extract<std::string>());
      into.host = uri.getHost();
      into.port = uri.getPort();
    } catch (const Poco::Exception&) {
      into.host.clear();
    }
    if (into.host.empty()) {
      at.Fault("must be \"host:port\"");
    }
  };
  return {read, object.write};
}

const json::shape<carrier_settings>& CarriersShape() {
  static const json::shape<carrier_settings> kShape = {
      Field("min_connections_per_instance",
            &carrier_settings::min_connections_per_instance,
            Integer<std::uint32_t>(0, kMaxConnectionsPerInstance)),
      Field("per_domain", &carrier_settings::per_domain,
            Integer<std::uint32_t>(1, kMaxCarriersPerDomain)),
  };
  return kShape;
}

/// A number of cores, such as 0.12, kept in thousandths.
json::codec<std::uint32_t> CoresCodec() {
  auto read = [](const json::Var& var, const json::place& at,
                 std::uint32_t& into) {
    const double cores = var.isNumeric() ? var.convert<double>() : -1;
    if (cores >= 1 / kThousandths && cores <= kMaxCores) {
      into = static_cast<std::uint32_t>(std::lround(cores * kThousandths));
    } else {
      at.Fault("must be a number of cores from 0.001 to 1024");
    }
  };
  auto write = [](const std::uint32_t& from) {
    return json::Var(from / kThousandths);
  };
  return {read, write};
}

json::shape<instance_settings> IdentityFields() {
  using s = instance_settings;
  const auto address = AddressCodec();
  return {
      Field("name", &s::name, json::Name(), presence::kRequired),
      Field("failure_domain", &s::failure_domain, json::Name(),
            presence::kRequired),
      Field("callers", &s::callers, address),
      Field("peers", &s::peers, address),
      Field("metrics", &s::metrics, address),
      Field("readiness", &s::readiness, address),
      Field("forwarding", &s::forwarding, address),
      Field("carriers", &s::carriers, json::Record(CarriersShape())),
      Field("processor_share", &s::processor_share, CoresCodec()),
      Field("key_value_service", &s::key_value_service,
            json::List(json::CheckedText(UrlFault), 1, kMaxAddresses),
            presence::kRequired),
      Field("promotion_service", &s::promotion_service,
            json::CheckedText([](const std::string& text) {
              return text.empty() ? std::string() : UrlFault(text);
            })),
      Field("key_prefix", &s::key_prefix, json::CheckedText(PrefixFault)),
      Field("logs", &s::logs,
            json::Choice<log_format>(
                {{"text", log_format::kText}, {"json", log_format::kJson}})),
      Field("log_level", &s::log_level,
            json::CheckedText([](const std::string& text) -> std::string {
              static const std::set<std::string, std::less<>> kLevels = {
                  "debug", "info", "warning", "error"};
              return kLevels.contains(text)
                         ? ""
                         : R"(must be "debug", "info", "warning" or "error")";
            })),
      Field("endpoint_user", &s::endpoint_user, json::Text(1, kMaxTextBytes)),
      Field("endpoint_password", &s::endpoint_password,
            json::Text(0, kMaxTextBytes)),
  };
}

json::shape<instance_settings> CallerFields() {
  using s = instance_settings;
  const auto bytes = Integer<std::uint32_t>(kMinBufferBytes, kMaxBufferBytes);
  return {
      Field("max_callers", &s::max_callers,
            Integer<std::uint32_t>(1, kMaxCallers)),
      Field("max_message_bytes", &s::max_message_bytes, bytes),
      Field("answer_buffer_bytes", &s::answer_buffer_bytes, bytes),
      Field("startup_timeout", &s::startup_timeout,
            Duration(milliseconds(100), minutes(1))),
      Field("write_stall_timeout", &s::write_stall_timeout,
            Duration(milliseconds(100), minutes(10))),
      Field("message_timeout", &s::message_timeout,
            Duration(milliseconds(100), minutes(10))),
      Field("session_state_bytes", &s::session_state_bytes, bytes),
      Field("memory_limit", &s::memory_limit,
            Integer<std::uint32_t>(0, kMaxMemoryMebibytes)),
      Field("caller_memory_percent", &s::caller_memory_percent,
            Integer<std::uint32_t>(1, kMaxCallerMemoryPercent)),
      Field("descriptor_reserve", &s::descriptor_reserve,
            Integer<std::uint32_t>(0, kMaxDescriptors)),
      Field("peer_message_bytes", &s::peer_message_bytes,
            Integer<std::uint32_t>(kMinPeerMessageBytes, kMaxBufferBytes)),
  };
}

json::shape<instance_settings> DecisionFields() {
  using s = instance_settings;
  return {
      Field("permit", &s::permit, Duration(milliseconds(20), seconds(10))),
      Field("permit_wait", &s::permit_wait,
            Duration(milliseconds(22), seconds(20))),
      Field("probe_interval", &s::probe_interval,
            Duration(milliseconds(5), seconds(10))),
      Field("probe_timeout", &s::probe_timeout,
            Duration(milliseconds(5), seconds(10))),
      Field("connect_timeout", &s::connect_timeout,
            Duration(milliseconds(5), seconds(10))),
      Field("statement_timeout", &s::statement_timeout,
            Duration(milliseconds(10), minutes(10))),
      Field("suspicion_quorum", &s::suspicion_quorum,
            Integer<std::uint32_t>(1, kMaxQuorum)),
      Field("queue_limit", &s::queue_limit,
            Integer<std::uint32_t>(1, kMaxQueue)),
      Field("drain_limit", &s::drain_limit, Duration(seconds(0), minutes(10))),
      Field("drain_notice", &s::drain_notice,
            Duration(seconds(0), minutes(10))),
      Field("membership_lease", &s::membership_lease,
            Duration<seconds>(seconds(2), minutes(1))),
  };
}

const json::shape<instance_settings>& SettingsShape() {
  static const json::shape<instance_settings> kShape = [] {
    json::shape<instance_settings> all = IdentityFields();
    for (auto& part : {CallerFields(), DecisionFields()}) {
      all.insert(all.end(), part.begin(), part.end());
    }
    return all;
  }();
  return kShape;
}

/// What must hold between settings that are each within their range.
struct relation {
  std::string_view path;
  std::string_view message;
  std::function<bool(const instance_settings&)> holds;
};

bool Distinct(const listen_address& a, const listen_address& b) {
  return a.port == 0 || a.port != b.port;
}

const std::vector<relation>& Relations() {
  using s = instance_settings;
  static const std::vector<relation> kRelations = {
      {"permit_wait", "must be at least 1.1 times permit",
       [](const s& v) {
         return v.permit_wait * 100 >= v.permit * (100 + kDriftPercent);
       }},
      {"probe_interval", "must be at most half of permit",
       [](const s& v) { return v.probe_interval * 2 <= v.permit; }},
      {"probe_timeout", "must be at most permit",
       [](const s& v) { return v.probe_timeout <= v.permit; }},
      {"connect_timeout", "must be at most statement_timeout",
       [](const s& v) { return v.connect_timeout <= v.statement_timeout; }},
      {"drain_notice", "must be at most drain_limit",
       [](const s& v) { return v.drain_notice <= v.drain_limit; }},
      {"memory_limit",
       "must be 0, or caller_memory_percent of it at least four times "
       "max_message_bytes",
       [](const s& v) {
         return v.memory_limit == 0 ||
                (std::uint64_t{v.memory_limit} << kMebibyteBits) *
                        v.caller_memory_percent >=
                    kMessagesInMemory * v.max_message_bytes * kPercent;
       }},
      {"peers.host",
       "must be an address that the other instances reach, not a wildcard",
       [](const s& v) {
         return v.peers.host != "0.0.0.0" && v.peers.host != "::" &&
                v.peers.host != "*";
       }},
      {"peers.port", "must differ from callers.port",
       [](const s& v) { return Distinct(v.peers, v.callers); }},
      {"forwarding.host",
       "must be an address that the other instances reach, not a wildcard",
       [](const s& v) {
         return v.forwarding.host != "0.0.0.0" && v.forwarding.host != "::" &&
                v.forwarding.host != "*";
       }},
      {"forwarding.port",
       "must differ from callers.port, peers.port, metrics.port and "
       "readiness.port",
       [](const s& v) {
         return Distinct(v.forwarding, v.callers) &&
                Distinct(v.forwarding, v.peers) &&
                Distinct(v.forwarding, v.metrics) &&
                Distinct(v.forwarding, v.readiness);
       }},
      {"metrics.port", "must differ from callers.port and peers.port",
       [](const s& v) {
         return Distinct(v.metrics, v.callers) && Distinct(v.metrics, v.peers);
       }},
  };
  return kRelations;
}

}  // namespace

checked_settings ParseSettings(std::string_view text) {
  std::vector<json::problem> problems;
  checked_settings checked;
  checked.value = json::ReadDocument(SettingsShape(), text, problems);
  for (json::problem& one : problems) {
    checked.faults.push_back({std::move(one.path), std::move(one.message)});
  }
  for (const relation& one : Relations()) {
    if (!one.holds(checked.value)) {
      checked.faults.push_back(
          {std::string(one.path), std::string(one.message)});
    }
  }
  return checked;
}

checked_settings LoadSettings(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return {{}, {{"", "cannot be read: " + path}}};
  }
  return ParseSettings(text.str());
}

}  // namespace marjoramslip
