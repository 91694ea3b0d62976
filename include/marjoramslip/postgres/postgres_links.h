// Connections to endpoints over libpq, non-blocking.

#ifndef MARJORAMSLIP_POSTGRES_POSTGRES_LINKS_H_
#define MARJORAMSLIP_POSTGRES_POSTGRES_LINKS_H_

#include <memory>

#include "marjoramslip/postgres/answer_sink.h"
#include "marjoramslip/runtime/endpoint_links.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::shell {

/// Goes on with an answer when its caller has room for it.
class postgres_links : public endpoint_links, public flow_listener {};

/// Makes the links; answers go to `sink`, texts come from `source`.
std::unique_ptr<postgres_links> MakePostgresLinks(
    const instance_settings& settings, event_loop& loop, answer_sink& sink,
    statement_source& source);

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_POSTGRES_POSTGRES_LINKS_H_
