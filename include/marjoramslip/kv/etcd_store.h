// A key_value_store that uses the JSON gateway of etcd v3.

#ifndef MARJORAMSLIP_KV_ETCD_STORE_H_
#define MARJORAMSLIP_KV_ETCD_STORE_H_

#include <memory>
#include <string>
#include <vector>

#include "marjoramslip/base/result.h"
#include "marjoramslip/base/time.h"
#include "marjoramslip/kv/key_value_store.h"

namespace marjoramslip::kv {

/// Addresses and timeouts of the etcd service.
struct etcd_options {
  /// Each "http://host:port"; tried in turn.
  std::vector<std::string> addresses;
  /// Maximum duration of a call.
  duration deadline = std::chrono::seconds(1);
  /// A watch that receives nothing for this long is reconnected.
  duration watch_idle_timeout = std::chrono::seconds(5);
};

/// Creates a store, which connects on first use. Fails with kInvalid if there
/// is no address or an address is malformed. The process must ignore SIGPIPE. A
/// watch must not be destroyed from within its own callbacks.
result<std::unique_ptr<key_value_store>> MakeEtcdStore(
    const etcd_options& options);

}  // namespace marjoramslip::kv

#endif  // MARJORAMSLIP_KV_ETCD_STORE_H_
