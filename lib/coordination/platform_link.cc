// Assembles the platform link from records, membership and follower.

#include <string>
#include <utility>

#include "marjoramslip/base/attempt.h"
#include "marjoramslip/coordination/store_link.h"
#include "marjoramslip/coordination/worker.h"
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
        membership_(context_, self, settings.membership_lease,
                    source_->PlatformPromotes()),
        follower_(context_, *source_, membership_, self) {
    context_.SetStoreAvailableCallback(
        [this] { follower_.OnStoreAvailable(); });
    context_.SetAnnouncedCallback(
        [this](instant announced_at) { follower_.OnAnnounced(announced_at); });
  }
  ~threaded_link() override {
    context_.SetStoreAvailableCallback({});
    context_.SetAnnouncedCallback({});
  }
  threaded_link(const threaded_link&) = delete;
  threaded_link& operator=(const threaded_link&) = delete;

  void Write(const write_record& request) override { records_.Write(request); }
  void Read(const read_record& request) override { records_.Read(request); }
  void ReadMembers() override { follower_.ReadMembers(); }
  void EndMembership(const end_membership& request) override {
    ender_.Post([this, request] { RunEndMembership(request); });
  }
  void Learn(const catalogue& value) override {
    context_.UpdateCatalogue(value);
  }
  void Leave() override { membership_.Leave(); }

 private:
  void RunEndMembership(const end_membership& request) {
    if (request.lease == 0) {
      context_.Post(fault_reported{
          "member.lease_unknown",
          "the lease of an instance cannot be ended, because its entry names "
          "none; id " +
              std::to_string(request.member.value)});
      return;
    }
    const auto ended =
        Attempt([&] { return context_.Store().RevokeLease(request.lease); });
    context_.RecordCallResult(ended);
    if (ended) {
      context_.Post(membership_ended{request.member});
    }
  }

  std::unique_ptr<catalogue_source> source_;
  platform_context context_;
  platform_records records_;
  platform_membership membership_;
  platform_follower follower_;
  /// Ends the leases of other instances. Renewals and reads don't wait for it.
  worker ender_;
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
  if (settings.forwarding.port != 0) {
    self.forwarding_address = settings.forwarding.host + ":" +
                              std::to_string(settings.forwarding.port);
  }
  self.processor_share = settings.processor_share;
  return std::make_unique<threaded_link>(settings, store, std::move(source),
                                         loop, self);
}

}  // namespace marjoramslip::shell
