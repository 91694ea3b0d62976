// Assembles the platform link from records, membership and follower.

#include <string>
#include <utility>

#include "marjoramslip/coordination/store_link.h"
#include "platform_link_context.h"
#include "platform_link_follower.h"
#include "platform_link_members.h"
#include "platform_link_records.h"

namespace marjoramslip::shell {
namespace {

class threaded_link : public platform_link {
 public:
  threaded_link(const instance_settings& settings, kv::key_value_store& store,
                std::unique_ptr<catalogue_source> source, event_loop& loop,
                const member& self)
      : source_(std::move(source)),
        context_(store, loop, kv::key_space(settings.key_prefix)),
        records_(context_),
        membership_(context_, self, settings.membership_lease),
        follower_(context_, *source_, membership_, self) {
    context_.SetStoreAvailableCallback(
        [this] { follower_.OnStoreAvailable(); });
  }
  ~threaded_link() override { context_.SetStoreAvailableCallback({}); }
  threaded_link(const threaded_link&) = delete;
  threaded_link& operator=(const threaded_link&) = delete;

  void Write(const write_record& request) override { records_.Write(request); }
  void Read(const read_record& request) override { records_.Read(request); }
  void ReadMembers() override { follower_.ReadMembers(); }
  void Learn(const catalogue& value) override {
    context_.UpdateCatalogue(value);
  }
  void Leave() override { membership_.Leave(); }

 private:
  std::unique_ptr<catalogue_source> source_;
  platform_context context_;
  platform_records records_;
  platform_membership membership_;
  platform_follower follower_;
};

}  // namespace

std::unique_ptr<platform_link> MakePlatformLink(
    const instance_settings& settings, kv::key_value_store& store,
    event_loop& loop, std::string peer_address) {
  return MakePlatformLink(
      settings, store,
      MakeNoteSource(store, kv::key_space(settings.key_prefix)), loop,
      std::move(peer_address));
}

std::unique_ptr<platform_link> MakePlatformLink(
    const instance_settings& settings, kv::key_value_store& store,
    std::unique_ptr<catalogue_source> source, event_loop& loop,
    std::string peer_address) {
  member self;
  self.name = settings.name;
  self.id = IdOf<instance_id>(self.name);
  self.peer_address = std::move(peer_address);
  self.failure_domain = settings.failure_domain;
  return std::make_unique<threaded_link>(settings, store, std::move(source),
                                         loop, self);
}

}  // namespace marjoramslip::shell
