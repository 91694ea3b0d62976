// Creates the platform link over a key-value store, which runs its own threads.

#ifndef MARJORAMSLIP_COORDINATION_STORE_LINK_H_
#define MARJORAMSLIP_COORDINATION_STORE_LINK_H_

#include <memory>
#include <string>

#include "marjoramslip/coordination/catalogue_source.h"
#include "marjoramslip/kv/key_value_store.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/runtime/platform_link.h"
#include "marjoramslip/settings/settings.h"

namespace marjoramslip::shell {

/// Creates a platform link and starts its threads. The catalogue comes from the
/// release notes. `peer_address` is announced to the other instances.
std::unique_ptr<platform_link> MakePlatformLink(
    const instance_settings& settings, kv::key_value_store& store,
    event_loop& loop, std::string peer_address);

/// Creates a platform link whose catalogue comes from `source`.
std::unique_ptr<platform_link> MakePlatformLink(
    const instance_settings& settings, kv::key_value_store& store,
    std::unique_ptr<catalogue_source> source, event_loop& loop,
    std::string peer_address);

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_COORDINATION_STORE_LINK_H_
