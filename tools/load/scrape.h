// Reads counters of instances from their metrics.

#ifndef MARJORAMSLIP_TOOLS_LOAD_SCRAPE_H_
#define MARJORAMSLIP_TOOLS_LOAD_SCRAPE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace load {

/// Reads of all instances together, by who served them.
struct served_reads {
  double replica = 0;
  double primary = 0;
};

/// Adds what a page in Prometheus' text format counts.
void AddServedReads(std::string_view page, served_reads& into);

/// Asks each "host:port"; empty if one does not answer.
std::optional<served_reads> ScrapeServedReads(
    const std::vector<std::string>& addresses);

}  // namespace load

#endif  // MARJORAMSLIP_TOOLS_LOAD_SCRAPE_H_
