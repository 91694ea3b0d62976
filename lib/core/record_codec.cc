// Conversion of group records to and from JSON.

#include "marjoramslip/core/record_codec.h"

#include <algorithm>
#include <vector>

#include "marjoramslip/json/fields.h"

namespace marjoramslip {
namespace {

using json::Field;
using json::Integer;
using json::presence;

constexpr std::size_t kMaxForks = 100'000;
constexpr std::size_t kMaxWitnesses = 64;

json::codec<endpoint_id> EndpointCodec() {
  const auto hexadecimal = json::Hexadecimal();
  auto read = [hexadecimal](const json::Var& var, const json::place& place,
                            endpoint_id& endpoint) {
    hexadecimal.read(var, place, endpoint.value);
  };
  auto write = [hexadecimal](const endpoint_id& endpoint) {
    return hexadecimal.write(endpoint.value);
  };
  return {read, write};
}

const json::shape<log_point>& PointShape() {
  using s = log_point;
  static const json::shape<s> kShape = {
      Field("term", &s::term, Integer<term_number>(), presence::kRequired),
      Field("position", &s::position, Integer<log_position>(),
            presence::kRequired),
  };
  return kShape;
}

const json::shape<fork_point>& ForkShape() {
  using s = fork_point;
  static const json::shape<s> kShape = {
      Field("term", &s::term, Integer<term_number>(), presence::kRequired),
      Field("parent", &s::parent, Integer<term_number>(), presence::kRequired),
      Field("start", &s::start, Integer<log_position>(), presence::kRequired),
  };
  return kShape;
}

json::codec<fork_history> HistoryCodec() {
  const auto list = json::List(json::Record(ForkShape()), 0, kMaxForks);
  auto read = [list](const json::Var& var, const json::place& place,
                     fork_history& history) {
    std::vector<fork_point> forks;
    list.read(var, place, forks);
    const auto not_ascending = [](const fork_point& a, const fork_point& b) {
      return a.term >= b.term;
    };
    if (std::adjacent_find(forks.begin(), forks.end(), not_ascending) !=
        forks.end()) {
      place.Fault("must be in ascending order of term");
      return;
    }
    history = fork_history(std::move(forks));
  };
  auto write = [list](const fork_history& history) {
    return list.write({history.Forks().begin(), history.Forks().end()});
  };
  return {read, write};
}

const json::shape<unsettled_promotion>& UnsettledShape() {
  using s = unsettled_promotion;
  static const json::shape<s> kShape = {
      Field("target", &s::target, EndpointCodec(), presence::kRequired),
      Field("revision", &s::revision, Integer<std::uint64_t>(),
            presence::kRequired),
  };
  return kShape;
}

/// The member is absent if the list is empty, so that builds that do not know
/// it can read the record.
json::codec<std::vector<unsettled_promotion>> UnsettledCodec() {
  const auto list =
      json::List(json::Record(UnsettledShape()), 0, kMaxWitnesses);
  auto write = [list](const std::vector<unsettled_promotion>& promotions) {
    return promotions.empty() ? json::Var() : list.write(promotions);
  };
  return {list.read, write};
}

const json::shape<group_record>& RecordShape() {
  using s = group_record;
  const auto required = presence::kRequired;
  static const json::shape<s> kShape = {
      Field("term", &s::term, Integer<term_number>(), required),
      Field("primary", &s::primary, EndpointCodec(), required),
      Field("phase", &s::phase,
            json::Choice<group_phase>({{"open", group_phase::kOpen},
                                       {"draining", group_phase::kDraining},
                                       {"sealed", group_phase::kSealed}}),
            required),
      Field("candidate", &s::candidate, EndpointCodec(), required),
      Field("candidate_chosen", &s::candidate_chosen, json::Boolean(),
            required),
      Field("candidate_point", &s::candidate_point, json::Record(PointShape()),
            required),
      Field("forks", &s::forks, HistoryCodec(), required),
      Field("witnesses", &s::witnesses,
            json::List(EndpointCodec(), 0, kMaxWitnesses), required),
      Field("unsettled", &s::unsettled, UnsettledCodec()),
      Field("writer", &s::writer, json::Hexadecimal(), required),
  };
  return kShape;
}

}  // namespace

std::string FormatRecord(const group_record& record) {
  return json::FormatDocument(json::WriteObject(RecordShape(), record));
}

result<group_record> ParseRecord(std::string_view text) {
  std::vector<json::problem> problems;
  group_record record = json::ReadDocument(RecordShape(), text, problems);
  if (!problems.empty()) {
    return Fail(error_kind::kInvalid, json::Summarize(problems));
  }
  return record;
}

}  // namespace marjoramslip
