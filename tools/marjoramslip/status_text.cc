// An instance's status in words.

#include "status_text.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>

#include <chrono>

#include "marjoramslip/base/time.h"

namespace marjoramslip::cli {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

std::string Text(const Object& from, const std::string& key) {
  return from.getValue<std::string>(key);
}

std::string Number(const Object& from, const std::string& key) {
  return std::to_string(from.getValue<Poco::UInt64>(key));
}

bool Flag(const Object& from, const std::string& key) {
  return from.getValue<bool>(key);
}

Object::Ptr Inner(const Object& from, const std::string& key) {
  Object::Ptr inner = from.getObject(key);
  if (inner.isNull()) {
    throw Poco::DataException("there is no " + key);
  }
  return inner;
}

Array::Ptr Items(const Object& from, const std::string& key) {
  Array::Ptr items = from.getArray(key);
  if (items.isNull()) {
    throw Poco::DataException("there is no " + key);
  }
  return items;
}

/// What the endpoint last said of itself, and how long ago that was asked.
std::string DescribeState(const Object& endpoint) {
  // An endpoint that has never answered has the greatest age there is.
  constexpr duration kNever = duration::max();
  const duration age(endpoint.getValue<Poco::Int64>("evidence_age"));
  if (age == kNever) {
    return "has not answered yet";
  }
  const Object::Ptr state = Inner(endpoint, "state");
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(age);
  return Text(*state, "role") + " at term " + Number(*state, "term") +
         ", position " + Number(*state, "log_term") + ":" +
         Number(*state, "position") + ", asked " +
         std::to_string(milliseconds.count()) + " ms ago";
}

std::string DescribeEndpoint(const Object& endpoint) {
  std::string line = "    " + Text(endpoint, "name") + " in " +
                     Text(endpoint, "failure_domain") + ": " +
                     DescribeState(endpoint) + ", " + Number(endpoint, "busy") +
                     " of " + Number(endpoint, "connections") +
                     " connections busy, share " + Number(endpoint, "share");
  line += Flag(endpoint, "leaving") ? ", leaving" : "";
  line += Flag(endpoint, "suspected") ? ", suspected of having failed" : "";
  return line + "\n";
}

/// What a closed group waits for; empty for an open one.
std::string DescribeChange(const Object& group) {
  const Object::Ptr change = group.getObject("change");
  if (change.isNull()) {
    return "";
  }
  std::string text = "    closed for " + Number(*change, "closed_for_ms") +
                     " ms, " + Text(*change, "stage") + ", " +
                     Number(*change, "attempts") + " attempts";
  const std::string answer = Text(*change, "last_answer");
  return text + (answer.empty() ? "" : ", the last: " + answer) + "\n";
}

std::string DescribeGroup(const Object& group) {
  const Object::Ptr record = Inner(group, "record");
  const std::string phase = Text(*record, "phase");
  const std::string primary = Text(*record, "primary");
  const std::string candidate = Text(*record, "candidate");
  std::string text = "  group " + Text(group, "name") + " of " +
                     Text(group, "service") + ": " + phase + " at term " +
                     Number(*record, "term") + ", primary " +
                     (primary.empty() ? "none" : primary);
  if (phase != "open" && !candidate.empty()) {
    text += ", next " + candidate;
  }
  text += Flag(group, "permit") ? ", permit held" : ", no permit";
  text += ", " + Number(group, "queued") + " requests waiting\n";
  text += DescribeChange(group);
  const Array::Ptr endpoints = Items(group, "endpoints");
  for (unsigned i = 0; i < endpoints->size(); ++i) {
    const Object::Ptr endpoint = endpoints->getObject(i);
    text += DescribeEndpoint(*endpoint);
  }
  return text;
}

}  // namespace

std::string DescribeStatus(const Object& report) {
  std::string text =
      "instance " + Text(report, "instance") + ": notes at " + "revision " +
      Number(report, "catalogue_revision") + ", key-value service " +
      (Flag(report, "service_reachable") ? "" : "not ") + "reachable, " +
      Number(report, "callers") + " callers, " + Number(report, "requests") +
      " requests, " + Number(report, "sessions") + " sessions" +
      (Flag(report, "draining") ? ", draining" : "") + "\n";
  const Array::Ptr members = Items(report, "members");
  text += "  live instances:";
  for (unsigned i = 0; i < members->size(); ++i) {
    text.append(" ").append(members->getElement<std::string>(i));
  }
  text += "\n";
  const Array::Ptr groups = Items(report, "groups");
  for (unsigned i = 0; i < groups->size(); ++i) {
    const Object::Ptr group = groups->getObject(i);
    text += DescribeGroup(*group);
  }
  return text;
}

}  // namespace marjoramslip::cli
