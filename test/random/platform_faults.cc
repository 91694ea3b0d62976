// Faults of randomised runs on the users' platform: any of them at any moment,
// together or twice.

#include <algorithm>
#include <utility>

#include "platform_world.h"

namespace marjoramslip::random_runs {

namespace {

constexpr node kStore = 200;
constexpr node kPromoter = 300;

}  // namespace

void platform_world::NextFault() {
  if (healed_) {
    return;
  }
  OneFault();
  At(Between(50, 2500), [this] { NextFault(); });
}

void platform_world::OneFault() {
  const std::size_t primary = promoter_.present;
  const std::size_t index = Pick(instances_.size());
  const std::size_t database = Pick(databases_.size());
  switch (Pick(20)) {
    case 0:
    case 1:
      CutLinks();
      return;
    case 2:
      CutOff(InstanceNode(index), {}, Between(200, 6000));
      return;
    case 3:
      CutOff(InstanceNode(index), {DatabaseNode(primary)}, Between(200, 6000));
      return;
    case 4:
    case 16:
    case 17:
    case 18:
    case 19:
      CutIsland();
      return;
    case 5:
    case 6: {
      instance& one = instances_[index];
      Trace("freezing " + one.name);
      one.paused_until =
          std::min(end_, std::max(one.paused_until, now_ + Between(50, 6000)));
      return;
    }
    case 7:
      if (instances_[index].alive) {
        StopInstance(index);
        At(Between(100, 2000), [this, index] {
          if (!instances_[index].alive) {
            StartInstance(index);
          }
        });
      }
      return;
    case 8:
      CrashDatabase(primary, Between(100, 6000));
      return;
    case 9:
      DarkenDatabase(primary);
      return;
    case 10:
      if (Chance(0.3)) {
        for (std::size_t i = 0; i < databases_.size(); ++i) {
          CrashDatabase(i, Between(100, 4000));
        }
      } else {
        CrashDatabase(database, Between(100, 6000));
      }
      return;
    case 11:
      if (Chance(0.5)) {
        followers_[database].lags_until = now_ + Between(500, 5000);
      } else {
        DarkenDatabase(database);
      }
      return;
    case 12:
      TroubleStore();
      return;
    case 13:
      Trace("the promoter is troubled");
      (Chance(0.5)   ? promoter_.slow_until
       : Chance(0.5) ? promoter_.refuses_until
                     : promoter_.mute_until) = now_ + Between(500, 5000);
      return;
    case 14:
      if (Chance(0.5)) {
        DrainDatabase(Chance(0.5) ? primary : database);
      } else {
        Give(index, promote_requested{group_, endpoint_id{}});
      }
      return;
    default:
      SilenceConnections();
      return;
  }
}

std::vector<node> platform_world::Nodes() const {
  std::vector<node> nodes{kStore, kPromoter};
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    nodes.push_back(InstanceNode(i));
  }
  for (std::size_t i = 0; i < databases_.size(); ++i) {
    nodes.push_back(DatabaseNode(i));
  }
  return nodes;
}

void platform_world::CutLinks() {
  const std::vector<node> nodes = Nodes();
  const node one = nodes[Pick(nodes.size())];
  std::vector<std::pair<node, node>> cuts;
  for (const node other : nodes) {
    if (other == one || Chance(0.4)) {
      continue;
    }
    if (Chance(0.8)) {
      cuts.emplace_back(one, other);
    }
    if (Chance(0.8)) {
      cuts.emplace_back(other, one);
    }
  }
  Trace("some links of node " + std::to_string(one) + " are cut");
  CutFor(std::move(cuts), Between(100, 4000));
}

void platform_world::CutOff(node one, const std::set<node>& stays,
                            duration length) {
  Trace("node " + std::to_string(one) + " is cut off" +
        (stays.empty() ? "" : " with a database") + " for " +
        std::to_string(length / std::chrono::milliseconds(1)) + " ms");
  std::vector<std::pair<node, node>> cuts;
  for (const node other : Nodes()) {
    if (other != one && !stays.contains(other)) {
      cuts.emplace_back(one, other);
      cuts.emplace_back(other, one);
    }
  }
  CutFor(std::move(cuts), length);
}

void platform_world::CutIsland() {
  // One instance stays with the primary and some replicas, everyone else
  // without. In half of the cases the replicas stay with everyone.
  const std::size_t index = Pick(instances_.size());
  const bool all_replicas = Chance(0.5);
  std::set<node> island{InstanceNode(index), DatabaseNode(promoter_.present)};
  std::set<node> between;
  for (std::size_t i = 0; i < databases_.size(); ++i) {
    if (i != promoter_.present && all_replicas) {
      between.insert(DatabaseNode(i));
    } else if (Chance(0.5)) {
      island.insert(DatabaseNode(i));
    }
  }
  std::vector<std::pair<node, node>> cuts;
  for (const node inside : island) {
    for (const node other : Nodes()) {
      if (!island.contains(other) && !between.contains(other)) {
        cuts.emplace_back(inside, other);
        cuts.emplace_back(other, inside);
      }
    }
  }
  const duration length = Between(1500, 7000);
  Trace("an island of " + std::to_string(island.size()) + " nodes with " +
        instances_[index].name + ", " + std::to_string(between.size()) +
        " between, for " +
        std::to_string(length / std::chrono::milliseconds(1)) + " ms");
  CutFor(std::move(cuts), length);
}

void platform_world::DarkenDatabase(std::size_t database) {
  CutOff(DatabaseNode(database), {}, Between(300, 6000));
}

void platform_world::DrainDatabase(std::size_t database) {
  if (!databases_[database].Running()) {
    return;
  }
  Trace(databases_[database].Name() + " drains");
  registrations_[database].leaving = true;
  At(Between(1500, 4000), [this, database] {
    if (registrations_[database].leaving) {
      CrashDatabase(database, Between(200, 1500));
    }
  });
}

void platform_world::SilenceConnections() {
  for (auto& [id, link] : instances_[Pick(instances_.size())].connections) {
    link.silent = link.silent || Chance(0.5);
  }
}

void platform_world::TroubleStore() {
  if (Chance(0.5)) {
    lost_answers_ = 0.5;
    At(Between(200, 4000), [this] { lost_answers_ = 0; });
    return;
  }
  const duration length = Between(200, 6000);
  Trace("the store is down");
  store_down_until_ = std::max(store_down_until_, now_ + length);
  leases_pause_ = Chance(0.5);
  if (leases_pause_) {
    store_.PauseLeases(length);
  }
}

void platform_world::Heal() {
  Trace("all heals");
  healed_ = true;
  cuts_.clear();
  store_down_until_ = {};
  lost_answers_ = 0;
  promoter_.slow_until = {};
  promoter_.refuses_until = {};
  promoter_.mute_until = {};
  for (std::size_t i = 0; i < databases_.size(); ++i) {
    followers_[i].lags_until = {};
    registrations_[i].leaving = false;
    RestartDatabase(i);
  }
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (!instances_[i].alive) {
      StartInstance(i);
    }
  }
}

}  // namespace marjoramslip::random_runs
