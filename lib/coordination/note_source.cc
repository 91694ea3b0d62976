// Release notes as a catalogue source: loads the newest catalogue, then applies
// each note as it is accepted.

#include <iterator>
#include <string>
#include <utility>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/coordination/catalogue_source.h"
#include "marjoramslip/kv/note_store.h"

namespace marjoramslip::shell {
namespace {

class note_source final : public catalogue_source {
 public:
  note_source(kv::key_value_store& store, const kv::key_space& keys)
      : store_(store), keys_(keys), notes_(store, keys) {}

  std::string WatchPrefix() const override { return keys_.Prefix(); }

  result<kv::range_result> Load() override {
    BOOST_LEAF_AUTO(stored, notes_.Load());
    // The catalogue never returns to an older revision.
    if (stored.value.revision >= catalogue_.revision) {
      catalogue_ = stored.value;
    }
    kv::range_result own_entries;
    for (const std::string& directory :
         {keys_.Groups(), keys_.Instances(), keys_.Seats()}) {
      BOOST_LEAF_AUTO(range, store_.Range(directory, false));
      std::move(range.entries.begin(), range.entries.end(),
                std::back_inserter(own_entries.entries));
    }
    own_entries.revision = stored.store_revision;
    return own_entries;
  }

  source_change OnChange(const kv::change& change) override {
    if (change.erased ||
        !kv::key_space::StripDirectory(keys_.Log(), change.current_entry.key)) {
      return source_change::kNone;
    }
    const auto note = Attempt(
        [&] { return kv::note_store::ParseEntry(change.current_entry); });
    if (note && note->base < catalogue_.revision) {
      return source_change::kNone;
    }
    // A log entry holds the complete note, so no further read is needed.
    auto next = Attempt([&]() -> result<catalogue> {
      if (!note) {
        return Fail(error_kind::kInternal, note.failure.message);
      }
      return ApplyNote(catalogue_, *note);
    });
    if (!next) {
      return source_change::kReloadRequired;
    }
    catalogue_ = std::move(*next.got);
    return source_change::kChanged;
  }

  source_change OnTimer(instant /*now*/) override {
    return source_change::kNone;
  }
  std::optional<instant> NextTimerAt() const override { return std::nullopt; }
  bool PlatformPromotes() const override { return false; }
  const catalogue& Value() const override { return catalogue_; }

 private:
  kv::key_value_store& store_;
  kv::key_space keys_;
  kv::note_store notes_;
  catalogue catalogue_;
};

}  // namespace

std::unique_ptr<catalogue_source> MakeNoteSource(kv::key_value_store& store,
                                                 const kv::key_space& keys) {
  return std::make_unique<note_source>(store, keys);
}

}  // namespace marjoramslip::shell
