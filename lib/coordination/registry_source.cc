// A platform's registry as a catalogue source: the operators' declarations and
// the entries of endpoints.

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/base/clock.h"
#include "marjoramslip/coordination/catalogue_source.h"
#include "marjoramslip/coordination/registry.h"

namespace marjoramslip::shell {
namespace {

/// How long an endpoint is kept after its entry has disappeared. Entries that
/// expired during a store outage return within two seconds of its end.
constexpr duration kMissingEndpointGrace = std::chrono::milliseconds(2500);

/// An endpoint's newest known entry.
struct endpoint_entry {
  registered_endpoint value;
  /// The newest revision since all keys were read.
  std::uint64_t revision = 0;
  /// When the entry was found missing; empty while it exists.
  std::optional<instant> missing_since;
};

class registry_source final : public catalogue_source {
 public:
  registry_source(kv::key_value_store& store, const registry_decoder& decoder)
      : store_(store), decoder_(decoder) {}

  std::string WatchPrefix() const override {
    return std::string(decoder_.Prefix());
  }

  result<kv::range_result> Load() override {
    // A single read fetches all keys. Startup waits for it, and with a slow
    // store each further read would add a noticeable delay.
    BOOST_LEAF_AUTO(range, store_.Range(decoder_.Prefix(), false));
    newest_revision_ = std::max(newest_revision_, range.revision);
    // What is read now is newer than all that was seen before. Revisions order
    // only what the watch delivers after this read: a store that went back to
    // an older copy gives them out again.
    for (auto& [key, endpoint] : endpoints_) {
      endpoint.revision = 0;
    }
    std::map<std::string, bool, std::less<>> present;
    for (const kv::entry& entry : range.entries) {
      present[entry.key] = true;
      ApplyEntry(entry);
    }
    for (auto& [key, endpoint] : endpoints_) {
      if (!present.contains(key) && !endpoint.missing_since) {
        endpoint.missing_since = Now();
      }
    }
    BuildCatalogue(range.revision);
    return range;
  }

  source_change OnChange(const kv::change& change) override {
    newest_revision_ =
        std::max(newest_revision_, change.current_entry.mod_revision);
    if (decoder_.ClassifyKey(change.current_entry.key) ==
        registry_key_kind::kOther) {
      return source_change::kNone;
    }
    const bool changed = change.erased ? ApplyDeletion(change.current_entry)
                                       : ApplyEntry(change.current_entry);
    if (!changed) {
      return source_change::kNone;
    }
    BuildCatalogue(change.current_entry.mod_revision);
    return source_change::kChanged;
  }

  source_change OnTimer(instant now) override {
    const std::size_t dropped =
        std::erase_if(endpoints_, [&](const auto& item) {
          return item.second.missing_since &&
                 now - *item.second.missing_since >= kMissingEndpointGrace;
        });
    if (dropped == 0) {
      return source_change::kNone;
    }
    // An expiry has no revision in the store, so the next revision is used
    // early. The other instances see the same entries disappear. It counts from
    // the newest change: catalogues that other instances read before that one
    // may be in force here and have higher revisions than this source's last.
    BuildCatalogue(newest_revision_ + 1);
    return source_change::kChanged;
  }

  std::optional<instant> NextTimerAt() const override {
    std::optional<instant> next;
    for (const auto& [key, endpoint] : endpoints_) {
      if (endpoint.missing_since) {
        const instant due = *endpoint.missing_since + kMissingEndpointGrace;
        next = std::min(next.value_or(due), due);
      }
    }
    return next;
  }

  std::vector<fault_reported> TakeFaults() override {
    return std::exchange(faults_, {});
  }

  bool PlatformPromotes() const override { return true; }
  const catalogue& Value() const override { return catalogue_; }

 private:
  static instant Now() { return BootTime(); }

  /// Applies a stored entry. Returns true if the catalogue changes.
  bool ApplyEntry(const kv::entry& entry) {
    switch (decoder_.ClassifyKey(entry.key)) {
      case registry_key_kind::kDeclarations:
        return ApplyDeclarations(entry);
      case registry_key_kind::kEndpoint:
        return ApplyEndpoint(entry);
      case registry_key_kind::kOther:
        break;
    }
    return false;
  }

  bool ApplyDeclarations(const kv::entry& entry) {
    auto parsed =
        Attempt([&] { return decoder_.ParseDeclarations(entry.value); });
    if (!parsed) {
      // The last valid declarations stay in force.
      RecordFault(entry, parsed.failure);
      return false;
    }
    if (parsed->version <= declarations_.version) {
      return false;
    }
    declarations_ = std::move(*parsed.got);
    return true;
  }

  bool ApplyEndpoint(const kv::entry& entry) {
    endpoint_entry& endpoint = endpoints_[entry.key];
    if (entry.mod_revision <= endpoint.revision) {
      return false;
    }
    auto parsed =
        Attempt([&] { return decoder_.ParseEndpoint(entry.key, entry.value); });
    if (!parsed) {
      // The entry is unusable, so the endpoint known under this key counts as
      // missing.
      RecordFault(entry, parsed.failure);
      if (endpoint.value.service.empty()) {
        endpoints_.erase(entry.key);
        return false;
      }
      endpoint.revision = entry.mod_revision;
      endpoint.missing_since = endpoint.missing_since.value_or(Now());
      return false;
    }
    const bool changed = endpoint.missing_since || !(endpoint.value == *parsed);
    endpoint = {std::move(*parsed.got), entry.mod_revision, std::nullopt};
    return changed;
  }

  /// Records a fault for an unusable entry, once for each of its revisions.
  void RecordFault(const kv::entry& entry, const error& failure) {
    std::uint64_t& fault_revision = fault_revisions_[entry.key];
    if (entry.mod_revision != fault_revision) {
      fault_revision = entry.mod_revision;
      faults_.push_back(
          {"registry.malformed", entry.key + ": " + failure.message});
    }
  }

  bool ApplyDeletion(const kv::entry& entry) {
    const auto known = endpoints_.find(entry.key);
    if (known == endpoints_.end() ||
        entry.mod_revision <= known->second.revision) {
      return false;
    }
    known->second.revision = entry.mod_revision;
    known->second.missing_since = known->second.missing_since.value_or(Now());
    if (known->second.value.spec.leaving) {
      // The endpoint had announced that it leaves, so no grace period applies.
      endpoints_.erase(known);
      return true;
    }
    return false;
  }

  void BuildCatalogue(std::uint64_t revision) {
    catalogue next = DeclaredCatalogue(declarations_);
    next.revision = catalogue_.revision;
    for (const auto& [key, endpoint] : endpoints_) {
      const auto service = next.services.find(endpoint.value.service);
      if (service == next.services.end()) {
        continue;
      }
      endpoint_spec spec = endpoint.value.spec;
      spec.connections = declarations_.connections.at(service->first);
      service->second.groups[0].endpoints.push_back(std::move(spec));
    }
    // Without declarations there is no catalogue, and an unchanged one keeps
    // its revision, so that it is not passed on again.
    if (declarations_.version == 0 || next == catalogue_) {
      return;
    }
    next.revision = std::max(revision, catalogue_.revision + 1);
    catalogue_ = std::move(next);
  }

  kv::key_value_store& store_;
  const registry_decoder& decoder_;
  declarations declarations_;
  std::map<std::string, endpoint_entry, std::less<>> endpoints_;
  catalogue catalogue_;
  /// The newest revision of the store that was seen.
  std::uint64_t newest_revision_ = 0;
  std::vector<fault_reported> faults_;
  /// The newest revision of each key for which a fault was recorded.
  std::map<std::string, std::uint64_t, std::less<>> fault_revisions_;
};

}  // namespace

catalogue DeclaredCatalogue(const declarations& declared) {
  catalogue value;
  value.routed = true;
  value.services = declared.services;
  value.routes = declared.routes;
  value.declared_version = declared.version;
  value.accounts_in_use = declared.accounts_in_use;
  value.accounts = declared.accounts;
  value.idle_transaction_limit = declared.idle_transaction_limit;
  for (auto& [name, service] : value.services) {
    service.groups = {group_spec{name, {}}};
  }
  return value;
}

std::unique_ptr<catalogue_source> MakeRegistrySource(
    kv::key_value_store& store, const registry_decoder& decoder) {
  return std::make_unique<registry_source>(store, decoder);
}

}  // namespace marjoramslip::shell
