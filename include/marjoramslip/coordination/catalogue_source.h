// The interface through which the store follower obtains the catalogue.

#ifndef MARJORAMSLIP_COORDINATION_CATALOGUE_SOURCE_H_
#define MARJORAMSLIP_COORDINATION_CATALOGUE_SOURCE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "marjoramslip/base/result.h"
#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/coordination/registry.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/kv/key_space.h"
#include "marjoramslip/kv/key_value_store.h"

namespace marjoramslip::shell {

/// The effect of a store change on the catalogue.
enum class source_change : std::uint8_t {
  kNone,
  kChanged,
  kReloadRequired,  ///< The effect is unknown: Load() is required.
};

/// Builds a catalogue from keys of the store and keeps it up to date. All calls
/// are made on the follower's thread.
class catalogue_source {
 public:
  virtual ~catalogue_source() = default;

  /// Key prefix that covers the catalogue's keys and the instances' own keys.
  virtual std::string WatchPrefix() const = 0;
  /// Reads all keys, including the instances' own. Returns at least the entries
  /// of the instances' own keys, with the store revision from before the first
  /// read.
  virtual result<kv::range_result> Load() = 0;
  virtual source_change OnChange(const kv::change& change) = 0;
  /// Removes what was kept only for a limited time and has expired at `now`.
  virtual source_change OnTimer(instant now) = 0;
  /// When OnTimer must be called next; empty if no timer is needed.
  virtual std::optional<instant> NextTimerAt() const = 0;
  /// Returns the unusable entries found since the last call. The caller logs
  /// each of them.
  virtual std::vector<fault_reported> TakeFaults() { return {}; }

  /// True if the platform's promotion service promotes primaries. Requesting
  /// promotions is then the duty of one instance at a time.
  virtual bool PlatformPromotes() const = 0;
  /// Returns the current catalogue. Its revision never decreases.
  virtual const catalogue& Value() const = 0;
};

/// Returns a source whose catalogue results from the release notes.
std::unique_ptr<catalogue_source> MakeNoteSource(kv::key_value_store& store,
                                                 const kv::key_space& keys);

/// Returns a source whose catalogue is read from a platform's registry.
/// `decoder` must outlive it.
std::unique_ptr<catalogue_source> MakeRegistrySource(
    kv::key_value_store& store, const registry_decoder& decoder);

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_COORDINATION_CATALOGUE_SOURCE_H_
