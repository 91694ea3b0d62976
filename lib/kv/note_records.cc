// Converts service records and the newest revision to and from JSON.

#include "note_records.h"

#include <utility>
#include <vector>

#include "marjoramslip/catalogue/release_note.h"
#include "marjoramslip/json/fields.h"

namespace marjoramslip::kv {
namespace {

using json::Field;
using json::presence;

struct head_record {
  std::uint64_t revision = 0;
};

const json::shape<head_record>& HeadShape() {
  static const json::shape<head_record> kShape = {
      Field("revision", &head_record::revision, json::Integer<std::uint64_t>(),
            presence::kRequired)};
  return kShape;
}

/// Delegates to the JSON functions of the catalogue.
json::codec<service_spec> ServiceCodec() {
  auto read = [](const json::Var& var, const json::place& at,
                 service_spec& target) {
    result<service_spec> parsed = ParseService(json::FormatDocument(var));
    if (!parsed) {
      at.Fault("is not a service");
      return;
    }
    target = std::move(parsed.value());
  };
  auto write = [](const service_spec& from) {
    std::vector<json::problem> problems;
    return json::ParseDocument(FormatService(from), problems);
  };
  return {read, write};
}

const json::shape<service_record>& RecordShape() {
  using s = service_record;
  static const json::shape<s> kShape = {
      Field("revision", &s::revision, json::Integer<std::uint64_t>(),
            presence::kRequired),
      Field("service", &s::service, ServiceCodec(), presence::kRequired)};
  return kShape;
}

template <typename object>
result<object> ReadStored(const json::shape<object>& shape,
                          std::string_view text) {
  std::vector<json::problem> problems;
  object value = json::ReadDocument(shape, text, problems);
  if (!problems.empty()) {
    return Fail(error_kind::kInternal,
                "stored data cannot be read: " + json::Summarize(problems));
  }
  return value;
}

}  // namespace

std::string FormatServiceRecord(const service_record& record) {
  return json::FormatDocument(json::WriteObject(RecordShape(), record));
}

result<service_record> ParseServiceRecord(std::string_view text) {
  return ReadStored(RecordShape(), text);
}

std::string FormatHead(std::uint64_t revision) {
  return json::FormatDocument(
      json::WriteObject(HeadShape(), head_record{revision}));
}

result<std::uint64_t> ParseHead(std::string_view text) {
  BOOST_LEAF_AUTO(head, ReadStored(HeadShape(), text));
  return head.revision;
}

}  // namespace marjoramslip::kv
