// Keeps this instance on the list of live instances.

#include "platform_link_members.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "marjoramslip/base/clock.h"
#include "marjoramslip/json/fields.h"
#include "seats.h"

namespace marjoramslip::shell {
namespace {

using json::Field;
using json::presence;

constexpr std::size_t kMaxTextBytes = 1024;
constexpr duration kRetryPause = std::chrono::milliseconds(200);
/// Number of renewals within the duration of a lease.
constexpr int kRenewalsPerLease = 3;
/// Interval between renewals where the serving lease depends on them. One of
/// them may fail before it expires.
constexpr duration kServingRenewalInterval = std::chrono::milliseconds(600);
/// How long the duty to promote is used after a proof that it is held, at most.
constexpr duration kMaxDutyValidity = std::chrono::seconds(3);
/// Number of conflicting claims that are attributed to other instances' claims
/// of the same seat.
constexpr std::uint32_t kConflictsWithoutEntry = 2;

/// Encodes a seat number; the field is absent if no seat is held.
json::codec<std::optional<std::uint32_t>> SeatCodec() {
  const auto number = json::Integer<std::uint32_t>(0, kMaxSeat);
  auto read = [number](const json::Var& var, const json::place& at,
                       std::optional<std::uint32_t>& seat) {
    if (!var.isEmpty()) {
      number.read(var, at, seat.emplace());
    }
  };
  auto write = [number](const std::optional<std::uint32_t>& seat) {
    return seat ? number.write(*seat) : json::Var();
  };
  return {read, write};
}

const json::shape<member>& MemberShape() {
  using s = member;
  static const json::shape<s> kShape = {
      Field("name", &s::name, json::Name(), presence::kRequired),
      Field("peer_address", &s::peer_address, json::Text(0, kMaxTextBytes),
            presence::kRequired),
      Field("failure_domain", &s::failure_domain, json::Name(),
            presence::kRequired),
      Field("leaving", &s::leaving, json::Boolean()),
      Field("seat", &s::seat, SeatCodec()),
      Field("forwarding_address", &s::forwarding_address,
            json::Text(0, kMaxTextBytes)),
      Field("processor_share", &s::processor_share,
            json::Integer<std::uint32_t>()),
  };
  return kShape;
}

}  // namespace

std::string FormatMember(const member& value) {
  return json::FormatDocument(json::WriteObject(MemberShape(), value));
}

result<member> ParseMember(std::string_view text) {
  std::vector<json::problem> problems;
  member value = json::ReadDocument(MemberShape(), text, problems);
  if (!problems.empty()) {
    return Fail(error_kind::kInvalid, json::Summarize(problems));
  }
  value.id = IdOf<instance_id>(value.name);
  return value;
}

platform_membership::platform_membership(platform_context& context, member self,
                                         std::chrono::seconds lease,
                                         bool platform_promotes)
    : context_(context),
      self_(std::move(self)),
      lease_ttl_(lease),
      platform_promotes_(platform_promotes),
      duty_(context_, self_.name, std::min<duration>(lease, kMaxDutyValidity),
            [this] { worker_.InterruptPause(); }) {
  worker_.Post([this] { Run(); });
}

void platform_membership::Leave() {
  leaving_ = true;
  const std::uint64_t lease = lease_.exchange(0);
  // In another history the id may be another instance's.
  if (lease != 0 && context_.Store().History() == LeaseHistory()) {
    // If this fails, the lease expires by itself.
    context_.RecordCallResult(
        Attempt([&] { return context_.Store().RevokeLease(lease); }));
  }
}

void platform_membership::Run() {
  while (!worker_.Stopping()) {
    const bool done = RunStep();
    const bool idle = done && announced_ && former_leases_.empty();
    if (!done || idle) {
      const duration until_renewal = TimeUntilRenewal();
      worker_.Pause(idle
                        ? std::min(until_renewal,
                                   duty_.TimeUntilDue().value_or(until_renewal))
                        : kRetryPause);
    }
  }
}

duration platform_membership::RenewalInterval() const {
  const duration interval = duration(lease_ttl_) / kRenewalsPerLease;
  return platform_promotes_ ? std::min(interval, kServingRenewalInterval)
                            : interval;
}

duration platform_membership::TimeUntilRenewal() const {
  return std::max(duration::zero(),
                  lease_extended_at_ + RenewalInterval() - BootTime());
}

void platform_membership::OnDirectoryRead(kv::range_result entries) {
  {
    const std::lock_guard lock(mutex_);
    initial_read_ = std::move(entries);
  }
  worker_.InterruptPause();
}

void platform_membership::OnAnnouncementMissing() {
  verify_requested_ = true;
  worker_.InterruptPause();
}

kv::history_id platform_membership::LeaseHistory() {
  const std::lock_guard lock(mutex_);
  return lease_history_;
}

void platform_membership::SetLeaseHistory(const kv::history_id& history) {
  const std::lock_guard lock(mutex_);
  lease_history_ = history;
}

void platform_membership::NoteHistory() {
  const kv::history_id newest = context_.Store().History();
  if (newest && newest != seen_history_) {
    if (seen_history_) {
      context_.Post(fault_reported{"store.went_back",
                                   "the store lost writes: its history is " +
                                       std::to_string(*newest) + ", was " +
                                       std::to_string(*seen_history_)});
    }
    seen_history_ = newest;
  }
  if (newest != LeaseHistory()) {
    verify_requested_ = true;
    // Their ids may be of leases of other instances now.
    former_leases_.clear();
  }
}

bool platform_membership::RunStep() {
  if (leaving_) {
    return false;
  }
  NoteHistory();
  if (announced_ && verify_requested_.exchange(false) &&
      !VerifyAnnouncement()) {
    verify_requested_ = true;
    return false;
  }
  if (announced_ && !RevokeFormerLeases()) {
    return false;
  }
  if (announced_) {
    duty_.Step(lease_, lease_extended_at_);
  }
  if (lease_ == 0) {
    return AcquireLease();
  }
  return announced_ ? RenewLease() : Announce();
}

bool platform_membership::AcquireLease() {
  announced_ = false;
  const instant requested_at = BootTime();
  // The duty expired together with the previous lease.
  duty_.Lose(requested_at);
  const kv::history_id history = context_.Store().History();
  const auto granted =
      Attempt([&] { return context_.Store().GrantLease(lease_ttl_); });
  context_.RecordCallResult(granted);
  if (granted) {
    SetLeaseHistory(history);
    lease_ = *granted;
    OnLeaseExtended(requested_at);
  }
  return static_cast<bool>(granted);
}

// Reads the key itself, because other evidence is not reliable. A lease that
// can be renewed may belong to another instance: a store that went back to an
// older copy may have granted the same lease number again. The follower's read
// may be older than an announcement in flight.
bool platform_membership::VerifyAnnouncement() {
  const kv::history_id history = context_.Store().History();
  const auto entry = Attempt([&] {
    return context_.Store().Range(context_.Keys().Instance(self_.name), true);
  });
  context_.RecordCallResult(entry);
  if (!entry) {
    return false;
  }
  if (entry->entries.empty() || entry->entries[0].lease != lease_) {
    OnLeaseLost(BootTime());
    return true;
  }
  SetLeaseHistory(history);
  return true;
}

bool platform_membership::RevokeFormerLeases() {
  while (!former_leases_.empty()) {
    const std::uint64_t lease = *former_leases_.begin();
    const auto done =
        Attempt([&] { return context_.Store().RevokeLease(lease); });
    context_.RecordCallResult(done);
    if (!done) {
      return false;
    }
    former_leases_.erase(lease);
  }
  return true;
}

attempted<kv::range_result> platform_membership::ReadDirectory() {
  const kv::key_space& keys = context_.Keys();
  if (std::exchange(initial_read_pending_, false)) {
    // The follower reads all keys at the start; waiting for its result is
    // faster than a second read.
    worker_.Pause(kRetryPause);
    const std::lock_guard lock(mutex_);
    if (initial_read_.has_value()) {
      return {std::exchange(initial_read_, std::nullopt), {}};
    }
  }
  return Attempt([&]() -> result<kv::range_result> {
    BOOST_LEAF_AUTO(found, context_.Store().Range(keys.Seats(), false));
    if (!own_entry_possible_) {
      return found;
    }
    BOOST_LEAF_AUTO(entry,
                    context_.Store().Range(keys.Instance(self_.name), true));
    std::move(entry.entries.begin(), entry.entries.end(),
              std::back_inserter(found.entries));
    return found;
  });
}

bool platform_membership::Announce() {
  const kv::key_space& keys = context_.Keys();
  const auto found = ReadDirectory();
  context_.RecordCallResult(found);
  if (!found) {
    return false;
  }
  std::uint64_t entry_revision = 0;
  for (const kv::entry& entry : found->entries) {
    entry_revision = entry.key == keys.Instance(self_.name) ? entry.mod_revision
                                                            : entry_revision;
  }
  own_entry_possible_ = own_entry_possible_ || entry_revision != 0;
  const seat_map seats = ReadSeats(keys.Seats(), *found, {self_.name, lease_});
  if (seats.own) {
    // This includes a claim whose response was lost.
    seat_ = seats.own;
    MarkAnnounced();
  }
  const bool within_limit = HoldsUsableSeat();
  if (!ever_announced_ && !seats.former_seats.empty()) {
    former_leases_ = seats.former_leases;
    const auto& [seat, revision] = *seats.former_seats.begin();
    return ClaimSeat(seat, revision, std::nullopt, entry_revision);
  }
  const std::uint32_t seat =
      ChooseSeat(seats.taken, within_limit ? seat_ : std::nullopt,
                 context_.SeatLimit(), conflicts_ == 0 ? 0 : self_.id.value);
  if (seats.own && (within_limit || seat > *seats.own)) {
    return true;
  }
  return seat <= kMaxSeat && ClaimSeat(seat, 0, seats.own, entry_revision);
}

bool platform_membership::ClaimSeat(std::uint32_t seat,
                                    std::uint64_t seat_revision,
                                    std::optional<std::uint32_t> held,
                                    std::uint64_t entry_revision) {
  const kv::key_space& keys = context_.Keys();
  const std::string key = keys.Instance(self_.name);
  const std::uint64_t lease = lease_;
  if (lease == 0) {
    return false;  // Leave() has revoked it; keys without a lease would stay.
  }
  member announcement = self_;
  announcement.seat = seat;
  std::vector<kv::mutation> writes = {
      {keys.Seat(seat), FormatClaim({self_.name, lease}), false, lease},
      {key, FormatMember(announcement), false, lease}};
  if (held) {
    writes.push_back({keys.Seat(*held), "", true, 0});
  }
  // The condition on the announcement's revision lets only one of several
  // claims of this instance take effect, including one presumed lost.
  const auto written = Attempt([&] {
    return context_.Store().Transact(
        {{keys.Seat(seat), seat_revision}, {key, entry_revision}}, writes);
  });
  context_.RecordCallResult(written);
  if (written) {
    seat_ = seat;
    MarkAnnounced();
  }
  // A claim writes the entry together with the seat. After one that may take
  // effect late, or after several conflicts, the entry itself is read.
  own_entry_possible_ = own_entry_possible_ || written ||
                        !written.Failed(error_kind::kConflict) ||
                        conflicts_ > kConflictsWithoutEntry;
  if (written.Failed(error_kind::kInvalid)) {
    lease_ = 0;
  }
  // On a conflict another instance was first; the next claim follows without
  // a pause, and for a seat of its own draw.
  conflicts_ += written.Failed(error_kind::kConflict) ? 1 : 0;
  return announced_ || written.Failed(error_kind::kConflict);
}

void platform_membership::MarkAnnounced() {
  if (!announced_) {
    announced_at_ = BootTime();
    context_.ReportAnnounced(announced_at_);
  }
  announced_ = true;
  ever_announced_ = true;
  PostRenewal();
}

void platform_membership::PostRenewal() {
  if (platform_promotes_) {
    context_.Post(membership_renewed{lease_extended_at_, announced_at_});
  }
}

void platform_membership::OnLeaseExtended(instant requested_at) {
  lease_extended_at_ = requested_at;
}

void platform_membership::OnLeaseLost(instant lost_at) {
  lease_ = 0;
  announced_ = false;
  duty_.Lose(lost_at);
}

bool platform_membership::RenewLease() {
  const instant requested_at = BootTime();
  if (TimeUntilRenewal() > duration::zero()) {
    return true;
  }
  const kv::history_id history = context_.Store().History();
  const auto renewed =
      Attempt([&] { return context_.Store().KeepAlive(lease_); });
  context_.RecordCallResult(renewed);
  if (renewed.Failed(error_kind::kConflict)) {
    OnLeaseLost(requested_at);
    return true;
  }
  if (!renewed) {
    return false;
  }
  if (context_.Store().History() != history) {
    return true;  // The announcement is checked first.
  }
  OnLeaseExtended(requested_at);
  PostRenewal();
  duty_.OnLeaseRenewed(requested_at, history);
  // In a fleet with more members than seats most hold a seat above the limit
  // and have a share all the same; looking for a lower one would be in vain.
  const bool all_fit = context_.MemberCount() <= context_.SeatLimit();
  return HoldsUsableSeat() || !all_fit || Announce();
}

bool platform_membership::HoldsUsableSeat() {
  return !seat_ || *seat_ < context_.SeatLimit();
}

}  // namespace marjoramslip::shell
