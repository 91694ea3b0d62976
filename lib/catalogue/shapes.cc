// Field tables for the JSON of services and release notes.

#include "shapes.h"

namespace marjoramslip {
namespace {

using json::Duration;
using json::Field;
using json::Integer;
using json::presence;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kMaxTextBytes = 1024;
constexpr std::size_t kMaxEndpointsPerGroup = 9;
constexpr std::size_t kMaxGroupsPerService = 1000;
/// The key-value store limits the number of writes in one transaction.
constexpr std::size_t kMaxServicesPerNote = 100;
constexpr std::size_t kMaxNamesPerNote = 1000;
constexpr std::uint32_t kMaxSlots = 10'000;
constexpr std::uint32_t kMaxConnections = 100'000;
constexpr std::uint32_t kMaxSeats = 4096;

const json::shape<endpoint_spec>& EndpointShape() {
  using s = endpoint_spec;
  static const json::shape<s> kShape = {
      Field("name", &s::name, json::Name(), presence::kRequired),
      Field("host", &s::host, json::Text(1, kMaxTextBytes),
            presence::kRequired),
      Field("port", &s::port, Integer<std::uint16_t>(1), presence::kRequired),
      Field("failure_domain", &s::failure_domain, json::Name(),
            presence::kRequired),
      Field("leaving", &s::leaving, json::Boolean()),
      Field("slots", &s::slots, Integer<std::uint32_t>(1, kMaxSlots)),
      Field("connections", &s::connections,
            Integer<std::uint32_t>(1, kMaxConnections)),
  };
  return kShape;
}

const json::shape<group_spec>& GroupShape() {
  using s = group_spec;
  static const json::shape<s> kShape = {
      Field("name", &s::name, json::Name(), presence::kRequired),
      Field("endpoints", &s::endpoints,
            json::List(json::Record(EndpointShape()), 1, kMaxEndpointsPerGroup),
            presence::kRequired),
  };
  return kShape;
}

json::shape<service_spec> PolicyFields() {
  using s = service_spec;
  return {
      Field("ack", &s::ack,
            json::Choice<ack_policy>({{"primary", ack_policy::kPrimary},
                                      {"replica", ack_policy::kReplica}})),
      Field("reads", &s::reads,
            json::Choice<read_policy>({{"position", read_policy::kPosition},
                                       {"primary", read_policy::kPrimary},
                                       {"sticky", read_policy::kSticky}})),
      Field(
          "failover", &s::failover,
          json::Choice<failover_policy>({{"witness", failover_policy::kWitness},
                                         {"lease", failover_policy::kLease}})),
      Field("replica_wait", &s::replica_wait,
            Duration(milliseconds(0), seconds(10))),
      Field("deadline", &s::deadline, Duration(milliseconds(10), minutes(10))),
      Field("sticky", &s::sticky, Duration(milliseconds(0), minutes(1))),
      Field("lease", &s::lease, Duration(milliseconds(100), minutes(5))),
      Field("seats", &s::seats, Integer<std::uint32_t>(1, kMaxSeats)),
  };
}

}  // namespace

const json::shape<service_spec>& ServiceShape() {
  using s = service_spec;
  static const json::shape<s> kShape = [] {
    json::shape<s> fields = {
        Field("name", &s::name, json::Name(), presence::kRequired)};
    for (auto& policy : PolicyFields()) {
      fields.push_back(std::move(policy));
    }
    fields.push_back(
        Field("groups", &s::groups,
              json::List(json::Record(GroupShape()), 1, kMaxGroupsPerService),
              presence::kRequired));
    fields.push_back(Field("pins", &s::pins, json::NameMap()));
    return fields;
  }();
  return kShape;
}

const json::shape<release_note>& NoteShape() {
  using s = release_note;
  const auto names = json::List(json::Name(), 0, kMaxNamesPerNote);
  static const json::shape<s> kShape = {
      Field("base", &s::base, Integer<std::uint64_t>(), presence::kRequired),
      Field("author", &s::author, json::Text(1, kMaxTextBytes),
            presence::kRequired),
      Field("summary", &s::summary, json::Text(1, kMaxTextBytes),
            presence::kRequired),
      Field("token", &s::token, json::Text(0, kMaxTextBytes)),
      Field("put", &s::put,
            json::List(json::Record(ServiceShape()), 0, kMaxServicesPerNote)),
      Field("withdraw", &s::withdraw,
            json::List(json::Name(), 0, kMaxServicesPerNote)),
      Field("leave", &s::leave, names),
      Field("stay", &s::stay, names),
  };
  return kShape;
}

}  // namespace marjoramslip
