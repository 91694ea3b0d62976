// A store for tests that lets them act between the calls of a platform link.

#ifndef MARJORAMSLIP_UNITTESTS_COORDINATION_HOOKED_STORE_H_
#define MARJORAMSLIP_UNITTESTS_COORDINATION_HOOKED_STORE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "marjoramslip/kv/key_value_store.h"

namespace marjoramslip::shell {

/// A store that calls back at each write and after each read of `directory`.
class hooked_store final : public kv::key_value_store {
 public:
  hooked_store(kv::key_value_store& store, std::string directory)
      : store_(store), directory_(std::move(directory)) {}

  result<kv::range_result> Range(std::string_view prefix, bool exact) override {
    auto found = store_.Range(prefix, exact);
    if (prefix == directory_) {
      after_read();
    }
    return found;
  }
  result<std::uint64_t> Transact(
      const std::vector<kv::condition>& conditions,
      const std::vector<kv::mutation>& writes) override {
    if (!on_write(conditions, writes)) {
      return Fail(error_kind::kUnknown, "the answer was lost");
    }
    return store_.Transact(conditions, writes);
  }
  result<std::uint64_t> GrantLease(std::chrono::seconds ttl) override {
    return store_.GrantLease(ttl);
  }
  result<void> KeepAlive(std::uint64_t lease) override {
    return store_.KeepAlive(lease);
  }
  result<void> RevokeLease(std::uint64_t lease) override {
    return store_.RevokeLease(lease);
  }
  result<std::unique_ptr<kv::watch_handle>> Watch(
      std::string_view prefix, std::uint64_t revision,
      std::function<void(const kv::change&)> on_change,
      std::function<void()> on_reset) override {
    return store_.Watch(prefix, revision, std::move(on_change),
                        std::move(on_reset));
  }

  kv::history_id History() const override { return store_.History(); }

  /// Returns false if the write is to be lost; it may then be made later.
  std::function<bool(const std::vector<kv::condition>&,
                     const std::vector<kv::mutation>&)>
      on_write = [](const auto&, const auto&) { return true; };
  std::function<void()> after_read = [] {};

 private:
  kv::key_value_store& store_;
  std::string directory_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_UNITTESTS_COORDINATION_HOOKED_STORE_H_
