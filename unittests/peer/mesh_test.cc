// Connection planning, and message delivery through relays in a sparse mesh.

#include "mesh.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <set>
#include <thread>

#include "marjoramslip/peer/peer_transport.h"
#include "story.h"

namespace marjoramslip::peer {
namespace {

constexpr std::size_t kLimit = 4;
constexpr auto kTimeout = std::chrono::seconds(20);
constexpr auto kPollInterval = std::chrono::milliseconds(10);

member MemberOf(std::uint64_t number, std::uint64_t domains) {
  member out;
  out.name = "instance-" + std::to_string(number);
  out.id = IdOf<instance_id>(out.name);
  out.failure_domain = "domain-" + std::to_string(number % domains);
  return out;
}

std::vector<member> Members(std::uint64_t count, std::uint64_t domains) {
  std::vector<member> out;
  for (std::uint64_t i = 0; i < count; ++i) {
    out.push_back(MemberOf(i, domains));
  }
  return out;
}

/// An instance that records the sender of the last suspicion report and the
/// last revision received.
class recording_instance {
 public:
  explicit recording_instance(member self) : member_(std::move(self)) {
    transport = leaf::try_handle_all(
        [this] {
          return MakePeerTransport(
              "127.0.0.1", 0, member_.id,
              [this](instance_id from, const peer_message& message) {
                Record(from, message);
              },
              {.full_mesh_limit = kLimit});
        },
        [] { return std::unique_ptr<peer_transport>(); });
    member_.peer_address = transport->Address();
  }
  const member& Member() const { return member_; }

  std::atomic<std::uint64_t> suspicion_sender = 0;
  std::atomic<std::uint64_t> revision = 0;
  std::unique_ptr<peer_transport> transport;

 private:
  void Record(instance_id from, const peer_message& message) {
    if (std::holds_alternative<suspicion_report>(message)) {
      suspicion_sender = from.value;
    } else if (const auto* update = std::get_if<revision_update>(&message)) {
      revision = update->revision;
    }
  }

  member member_;
};

using recording_instances = std::vector<std::unique_ptr<recording_instance>>;

recording_instances Start(std::uint64_t count, std::uint64_t domains) {
  recording_instances all;
  std::vector<member> members;
  for (const member& one : Members(count, domains)) {
    all.push_back(std::make_unique<recording_instance>(one));
    members.push_back(all.back()->Member());
  }
  for (const auto& one : all) {
    one->transport->SetMembers(members);
  }
  return all;
}

/// Repeats `send` until `arrived` returns true, since messages may be lost.
/// Returns false after kTimeout.
template <typename sender_function, typename predicate>
bool SendUntil(const sender_function& send, const predicate& arrived) {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < end) {
    send();
    std::this_thread::sleep_for(kPollInterval);
    if (arrived()) {
      return true;
    }
  }
  return false;
}

}  // namespace

Test(mesh, connections_are_bounded) {
  SECTION("few members form a full mesh without relays") {
    const auto members = Members(kLimit, 2);
    const auto plan = PlanLinks(members[0].id, members, kLimit);
    EXPECT(plan.size() == kLimit - 1);
    EXPECT(std::ranges::none_of(
        plan, [](const auto& one) { return one.second.relay; }));
  }
  SECTION(
      "2,400 members: the own failure domain and two relays in each other "
      "one") {
    const auto members = Members(2400, 20);
    const auto plan = PlanLinks(members[7].id, members, 64);
    EXPECT(plan.size() == 119 + 19 * kRelaysPerDomain);
    EXPECT(!plan.contains(members[7].id));
  }
  SECTION("a leaving member is not a relay while others are available") {
    auto members = Members(60, 3);
    for (std::size_t i = 1; i < 52; i += 3) {
      members[i].leaving = true;
    }
    for (const auto& [id, link] : PlanLinks(members[0].id, members, kLimit)) {
      const auto found = std::ranges::find(members, id, &member::id);
      EXPECT(!(link.relay && found->leaving));
    }
  }
}

Test(mesh, every_member_is_reached) {
  rc::check("direct connections and relays reach every member", [] {
    const auto count = *rc::gen::inRange<std::uint64_t>(2, 60);
    const auto domains = *rc::gen::inRange<std::uint64_t>(1, 8);
    const auto members = Members(count, domains);
    const auto from = *rc::gen::inRange<std::size_t>(0, count);
    std::set<instance_id> reached{members[from].id};
    for (const auto& [id, link] :
         PlanLinks(members[from].id, members, kLimit)) {
      reached.insert(id);
      if (!link.relay) {
        continue;
      }
      for (const auto& [next, next_link] : PlanLinks(id, members, kLimit)) {
        if (next_link.same_domain) {
          reached.insert(next);
        }
      }
    }
    RC_ASSERT(reached.size() == members.size());
  });
}

Test(mesh, removing_a_member_keeps_links_to_all_others) {
  rc::check("links to all other members remain", [] {
    auto members = Members(60, 4);
    const auto removed_index =
        *rc::gen::inRange<std::size_t>(1, members.size());
    const auto before = PlanLinks(members[0].id, members, kLimit);
    const instance_id removed_id = members[removed_index].id;
    members.erase(members.begin() + static_cast<std::ptrdiff_t>(removed_index));
    const auto after = PlanLinks(members[0].id, members, kLimit);
    for (const auto& [id, link] : before) {
      RC_ASSERT(id == removed_id || after.contains(id));
    }
  });
}

Test(mesh, messages_cross_failure_domains) {
  const recording_instances all = Start(12, 3);
  SECTION("a suspicion reaches every instance, with the original sender") {
    const auto& sender = *all[4];
    EXPECT(SendUntil(
        [&] {
          sender.transport->Send({}, suspicion_report{{1}, {2}, 3, true});
        },
        [&] {
          return std::ranges::all_of(all, [&](const auto& one) {
            return one.get() == &sender ||
                   one->suspicion_sender == sender.Member().id.value;
          });
        }));
  }
  SECTION(
      "a message to one instance arrives, also without a planned connection") {
    for (const auto& one : all) {
      if (one == all[0]) {
        continue;
      }
      EXPECT(SendUntil(
          [&] {
            all[0]->transport->Send(one->Member().id, revision_update{5});
          },
          [&] { return one->revision == 5; }));
    }
  }
  SECTION("revision broadcasts rotate through the members") {
    EXPECT(SendUntil([&] { all[0]->transport->Send({}, revision_update{6}); },
                     [&] {
                       return std::ranges::count_if(all, [](const auto& one) {
                                return one->revision == 6;
                              }) >= 3 + 2 * 2;
                     }));
  }
}

}  // namespace marjoramslip::peer
