// Callers that speak PostgreSQL's protocol.

#ifndef MARJORAMSLIP_POSTGRES_POSTGRES_FRONT_H_
#define MARJORAMSLIP_POSTGRES_POSTGRES_FRONT_H_

#include <memory>

#include "marjoramslip/base/result.h"
#include "marjoramslip/postgres/answer_sink.h"
#include "marjoramslip/runtime/caller_front.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::shell {

/// Takes the answers that postgres_links receives, and gives it the texts.
class postgres_front : public caller_front,
                       public answer_sink,
                       public statement_source {
 public:
  /// Who to tell when a caller's buffer has drained.
  virtual void SetFlowListener(flow_listener* listener) = 0;
};

/// Starts to listen; kUnavailable if the address cannot be had.
result<std::unique_ptr<postgres_front>> MakePostgresFront(
    const instance_settings& settings, event_loop& loop);

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_POSTGRES_POSTGRES_FRONT_H_
