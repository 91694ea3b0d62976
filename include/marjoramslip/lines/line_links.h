// Connections to endpoints that use a line protocol.

#ifndef MARJORAMSLIP_LINES_LINE_LINKS_H_
#define MARJORAMSLIP_LINES_LINE_LINKS_H_

#include <memory>

#include "marjoramslip/lines/line_codec.h"
#include "marjoramslip/lines/line_front.h"
#include "marjoramslip/runtime/endpoint_links.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::lines {

/// Asks the platform to make an endpoint the primary of its service.
class endpoint_promoter {
 public:
  virtual ~endpoint_promoter() = default;

  /// Returns without waiting. The answer comes as `promotion_answered`. Whether
  /// the endpoint was promoted is shown by the state that it reports.
  virtual void Promote(std::string_view service, std::string_view endpoint,
                       const promote_endpoint& command) = 0;
};

/// Creates the links. All arguments but `settings` must outlive them.
std::unique_ptr<shell::endpoint_links> MakeLineLinks(
    const instance_settings& settings, shell::event_loop& loop,
    const line_codec& codec, statement_exchange& exchange,
    endpoint_promoter& promoter);

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LINES_LINE_LINKS_H_
