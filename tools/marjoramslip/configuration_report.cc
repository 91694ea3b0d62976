// Formats what a check of a configuration found.

#include "configuration_report.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <string_view>

namespace marjoramslip::cli {
namespace {

using json::problem;
using json::severity;
using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr int kExitClean = 0;
constexpr int kExitWarnings = 1;
constexpr int kExitErrors = 2;
constexpr unsigned kIndent = 2;

std::size_t CountOf(const configuration_report& report, severity level) {
  return static_cast<std::size_t>(std::count_if(
      report.findings.begin(), report.findings.end(),
      [level](const problem& each) { return each.level == level; }));
}

std::string Plural(std::size_t count, const std::string& word) {
  return std::to_string(count) + " " + word + (count == 1 ? "" : "s");
}

std::string_view Word(severity level) {
  return level == severity::kError ? "error" : "warning";
}

std::string_view Word(change_kind kind) {
  switch (kind) {
    case change_kind::kAdded:
      return "added";
    case change_kind::kChanged:
      return "changed";
    case change_kind::kWithdrawn:
      return "withdrawn";
  }
  return "";
}

std::string Line(const catalogue_difference& each) {
  std::string line = each.subject + " " + each.name + " ";
  line += Word(each.kind);
  if (!each.before.empty() || !each.after.empty()) {
    line += ": " + each.before;
    line += each.before.empty() || each.after.empty() ? "" : " -> ";
    line += each.after;
  }
  return line + (each.effect.empty() ? "" : "; " + each.effect);
}

Object::Ptr MakeObject() { return new Object(Poco::JSON_PRESERVE_KEY_ORDER); }

Object::Ptr Describe(const problem& each) {
  Object::Ptr out = MakeObject();
  out->set("severity", std::string(Word(each.level)));
  out->set("path", each.path);
  out->set("message", each.message);
  return out;
}

Object::Ptr Describe(const catalogue_difference& each) {
  Object::Ptr out = MakeObject();
  out->set("change", std::string(Word(each.kind)));
  out->set("subject", each.subject);
  out->set("name", each.name);
  out->set("before", each.before);
  out->set("after", each.after);
  out->set("effect", each.effect);
  return out;
}

template <typename item>
Array::Ptr DescribeAll(const std::vector<item>& items) {
  Array::Ptr out = new Array;
  for (const item& each : items) {
    out->add(Describe(each));
  }
  return out;
}

}  // namespace

std::string FormatText(const configuration_report& report) {
  std::string text;
  for (const severity level : {severity::kError, severity::kWarning}) {
    for (const problem& each : report.findings) {
      if (each.level == level) {
        text += report.file + ": ";
        text += Word(level);
        text += ": " + each.path + (each.path.empty() ? "" : ": ") +
                each.message + "\n";
      }
    }
  }
  if (report.differences) {
    text += report.differences->empty()
                ? "no differences from " + report.in_force + "\n"
                : "differences from " + report.in_force + ":\n";
    for (const catalogue_difference& each : *report.differences) {
      text += "  " + Line(each) + "\n";
    }
  }
  return text + report.file + ": " +
         Plural(CountOf(report, severity::kError), "error") + ", " +
         Plural(CountOf(report, severity::kWarning), "warning") + "\n";
}

std::string FormatJson(const configuration_report& report) {
  Object::Ptr out = MakeObject();
  out->set("file", report.file);
  out->set("form", report.form);
  out->set("errors", Poco::UInt64{CountOf(report, severity::kError)});
  out->set("warnings", Poco::UInt64{CountOf(report, severity::kWarning)});
  out->set("findings", DescribeAll(report.findings));
  if (report.differences) {
    out->set("in_force", report.in_force);
    out->set("differences", DescribeAll(*report.differences));
  }
  return json::FormatDocument(out, kIndent) + "\n";
}

int ExitCodeOf(const configuration_report& report) {
  if (CountOf(report, severity::kError) > 0) {
    return kExitErrors;
  }
  return report.findings.empty() ? kExitClean : kExitWarnings;
}

}  // namespace marjoramslip::cli
