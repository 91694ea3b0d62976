// How commands reach the key-value service.

#include "store_access.h"

#include <utility>

#include "files.h"
#include "marjoramslip/base/attempt.h"
#include "marjoramslip/kv/etcd_store.h"

namespace marjoramslip::cli {

std::vector<option> store_access::Options() {
  return {{.name = "config", .help = "FILE", .text = &config_},
          {.name = "kv", .help = "URL", .texts = &addresses_},
          {.name = "prefix", .help = "PREFIX", .text = &prefix_}};
}

bool store_access::Open() {
  if (config_.empty() == addresses_.empty()) {
    Complain(kBadInput, "name the service by either --config or --kv");
    return false;
  }
  if (!config_.empty()) {
    const auto settings = ReadSettingsFile(config_);
    if (!settings) {
      return false;
    }
    addresses_ = settings->key_value_service;
    if (prefix_.empty()) {
      prefix_ = settings->key_prefix;
    }
  }
  if (prefix_.empty()) {
    prefix_ = instance_settings().key_prefix;
  }
  if (!prefix_.starts_with('/') || !prefix_.ends_with('/')) {
    Complain(kBadInput, "--prefix must begin and end with '/'");
    return false;
  }
  kv::etcd_options options;
  options.addresses = addresses_;
  return leaf::try_handle_all(
      [&]() -> result<bool> {
        BOOST_LEAF_ASSIGN(store_, kv::MakeEtcdStore(options));
        return true;
      },
      [](const error& failure) {
        Complain(kBadInput, failure.message);
        return false;
      },
      [] { return false; });
}

int Explain(const error& failure) {
  switch (failure.kind) {
    case error_kind::kUnavailable:
      return Complain(kRefused,
                      "the key-value service cannot be reached, nothing was "
                      "changed: " +
                          failure.message);
    case error_kind::kUnknown:
      return Complain(kUnknown, "the outcome is unknown: " + failure.message);
    case error_kind::kInvalid:
    case error_kind::kConflict:
    case error_kind::kInternal:
      break;
  }
  return Complain(kRefused, failure.message);
}

}  // namespace marjoramslip::cli
