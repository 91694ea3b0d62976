// Parses and formats release notes and services.

#include "marjoramslip/catalogue/release_note.h"

#include <utility>

#include "marjoramslip/json/fields.h"
#include "shapes.h"
#include "validation.h"

namespace marjoramslip {
namespace {

constexpr unsigned kNoteIndent = 2;

/// Checks a note as far as that is possible without the base catalogue.
void CheckNote(const release_note& note, const json::place& at) {
  std::vector<const service_spec*> services;
  for (const service_spec& service : note.put) {
    services.push_back(&service);
  }
  CheckServices(services, at.Member("put"));
  const bool empty = note.put.empty() && note.withdraw.empty() &&
                     note.leave.empty() && note.stay.empty();
  if (empty) {
    at.Fault("note has no changes: put, withdraw, leave and stay are empty");
  }
}

}  // namespace

checked_note ParseNote(std::string_view text) {
  std::vector<json::problem> problems;
  checked_note checked;
  checked.value = json::ReadDocument(NoteShape(), text, problems);
  if (problems.empty()) {
    CheckNote(checked.value, json::place(problems));
  }
  for (json::problem& problem : problems) {
    checked.faults.push_back(
        {std::move(problem.path), std::move(problem.message)});
  }
  return checked;
}

std::string FormatNote(const release_note& note) {
  return json::FormatDocument(json::WriteObject(NoteShape(), note),
                              kNoteIndent);
}

std::string FormatService(const service_spec& service) {
  return json::FormatDocument(json::WriteObject(ServiceShape(), service));
}

result<service_spec> ParseService(std::string_view text) {
  std::vector<json::problem> problems;
  service_spec service = json::ReadDocument(ServiceShape(), text, problems);
  if (!problems.empty()) {
    return Fail(error_kind::kInvalid, json::Summarize(problems));
  }
  return service;
}

}  // namespace marjoramslip
