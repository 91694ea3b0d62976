// Recognises the form of a document, checks it and compares it with the version
// in force.

#include "configuration_checks.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

#include <algorithm>
#include <initializer_list>
#include <utility>

#include "configuration_check.h"
#include "files.h"
#include "http_store.h"
#include "marjoramslip/base/attempt.h"
#include "marjoramslip/catalogue/contradictions.h"
#include "marjoramslip/catalogue/release_note.h"
#include "marjoramslip/json/fields.h"
#include "marjoramslip/kv/etcd_store.h"
#include "marjoramslip/kv/note_store.h"

namespace marjoramslip::cli {
namespace {

using json::place;
using json::problem;

/// Longest wait for one answer of a store.
constexpr duration kStoreDeadline = std::chrono::seconds(2);

bool HasAnyOf(const Poco::JSON::Object& object,
              std::initializer_list<const char*> keys) {
  return std::any_of(keys.begin(), keys.end(),
                     [&object](const char* key) { return object.has(key); });
}

bool IsUrl(const std::string& text) { return text.starts_with("http://"); }

result<std::string> ReadText(const std::string& path) {
  std::optional<std::string> text = ReadFile(path);
  if (!text) {
    return Fail(error_kind::kInvalid, "the file cannot be read");
  }
  return std::move(*text);
}

std::vector<problem> ToProblems(const std::vector<note_fault>& faults) {
  std::vector<problem> problems;
  problems.reserve(faults.size());
  for (const note_fault& each : faults) {
    problems.push_back({each.path, each.message});
  }
  return problems;
}

void RemoveKeys(std::vector<problem>& findings) {
  for (problem& each : findings) {
    each.path = platform::PathWithoutKeys(each.path);
  }
}

/// Returns the catalogue that a note alone declares, or that of the store.
result<catalogue> CatalogueInForce(const in_force_source& source) {
  if (IsUrl(source.place)) {
    kv::etcd_options options;
    options.addresses = {source.place};
    options.deadline = kStoreDeadline;
    BOOST_LEAF_AUTO(store, kv::MakeEtcdStore(options));
    const kv::note_store notes(*store, kv::key_space(source.prefix));
    BOOST_LEAF_AUTO(loaded, notes.Load());
    return std::move(loaded.value);
  }
  BOOST_LEAF_AUTO(text, ReadText(source.place));
  const checked_note note = ParseNote(text);
  if (!note.faults.empty()) {
    std::vector<problem> problems = ToProblems(note.faults);
    RemoveKeys(problems);
    return Fail(error_kind::kInvalid, json::Summarize(problems));
  }
  catalogue base;
  base.revision = note.value.base;
  return ApplyNote(base, note.value);
}

void CheckNote(std::string_view text, const in_force_source& in_force,
               configuration_report& report) {
  const checked_note note = ParseNote(text);
  report.findings = ToProblems(note.faults);
  const place at(report.findings);
  if (!note.faults.empty()) {
    return;
  }
  for (const service_spec& service : note.value.put) {
    WarnOfService(service, at.Member("put").Member(service.name));
  }
  if (in_force.place.empty()) {
    return;
  }
  const auto base = Attempt([&] { return CatalogueInForce(in_force); });
  if (!base) {
    at.Fault("the version in force, " + in_force.place +
             ", cannot be used: " + base.failure.message);
    return;
  }
  const applied_note applied = TryNote(*base, note.value);
  for (const note_fault& each : applied.faults) {
    report.findings.push_back({each.path, each.message});
  }
  report.differences = FindDifferences(*base, applied.value);
}

result<kv::http_address> ParseAddress(const std::string& url) {
  try {
    const Poco::URI uri(url);
    return kv::http_address{uri.getHost(), uri.getPort()};
  } catch (const Poco::Exception& caught) {
    return Fail(error_kind::kInvalid, caught.displayText());
  }
}

/// Returns the configuration of a file or of the store; an empty one if the
/// store has none yet.
result<platform::configuration_document> ConfigurationInForce(
    const std::string& source) {
  std::string text;
  if (IsUrl(source)) {
    BOOST_LEAF_AUTO(address, ParseAddress(source));
    const auto store = platform::MakeHttpStore(address, kStoreDeadline);
    BOOST_LEAF_AUTO(stored, platform::ReadStoredConfiguration(*store));
    if (!stored) {
      return platform::configuration_document();
    }
    text = std::move(*stored);
  } else {
    BOOST_LEAF_ASSIGN(text, ReadText(source));
  }
  std::vector<problem> problems;
  platform::configuration_document value =
      platform::ReadConfiguration(text, problems);
  if (!problems.empty()) {
    return Fail(error_kind::kInvalid, json::Summarize(problems));
  }
  return value;
}

void CheckConfiguration(std::string_view text, const in_force_source& in_force,
                        configuration_report& report) {
  platform::checked_configuration checked = platform::CheckConfiguration(text);
  report.findings = std::move(checked.findings);
  if (in_force.place.empty() || !checked.usable) {
    return;
  }
  const auto base =
      Attempt([&] { return ConfigurationInForce(in_force.place); });
  if (!base) {
    place(report.findings)
        .Fault("the version in force, " + in_force.place +
               ", cannot be used: " + base.failure.message);
    return;
  }
  report.differences =
      platform::CompareConfigurations(*base, checked.value, report.findings);
}

/// Recognises the form of a document and checks it.
void Check(std::string_view text, const in_force_source& in_force,
           configuration_report& report) {
  const Poco::Dynamic::Var document =
      json::ParseDocument(text, report.findings);
  if (document.isEmpty()) {
    return;
  }
  // Keys that occur twice are judged by each form.
  report.findings.clear();
  const place at(report.findings);
  const Poco::JSON::Object::Ptr root = json::AsObject(document, at);
  if (!root) {
    return;
  }
  if (HasAnyOf(*root, {"base", "author", "summary", "put", "withdraw", "leave",
                       "stay"})) {
    report.form = "release note";
    CheckNote(text, in_force, report);
  } else if (HasAnyOf(*root, {"version", "routes", "services", "tenants"})) {
    report.form = "configuration";
    CheckConfiguration(text, in_force, report);
  } else {
    at.Fault(
        "is neither a release note (base, put) nor a configuration of the "
        "platform (version, routes, services)");
  }
}

}  // namespace

configuration_report CheckDocument(const std::string& file,
                                   std::string_view text,
                                   const in_force_source& in_force) {
  configuration_report report;
  report.file = file;
  report.in_force = in_force.place;
  Check(text, in_force, report);
  RemoveKeys(report.findings);
  return report;
}

}  // namespace marjoramslip::cli
