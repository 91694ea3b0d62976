// Describes the differences between two catalogues, one per line.

#include <string>
#include <vector>

#include "marjoramslip/catalogue/differences.h"
#include "marjoramslip/catalogue/release_note.h"

namespace marjoramslip {
namespace {

std::string_view Sign(change_kind kind) {
  switch (kind) {
    case change_kind::kAdded:
      return "+ ";
    case change_kind::kChanged:
      return "~ ";
    case change_kind::kWithdrawn:
      return "- ";
  }
  return "";
}

}  // namespace

std::vector<std::string> DescribeChanges(const catalogue& from,
                                         const catalogue& to) {
  std::vector<std::string> lines;
  for (const catalogue_difference& each : FindDifferences(from, to)) {
    std::string& line = lines.emplace_back(Sign(each.kind));
    line += each.subject + " " + each.name;
    if (!each.before.empty() || !each.after.empty()) {
      line += ": " + each.before;
      line += each.before.empty() || each.after.empty() ? "" : " -> ";
      line += each.after;
    }
  }
  return lines;
}

}  // namespace marjoramslip
