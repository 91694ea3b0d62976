// Finds the differences between two catalogues.

#include "marjoramslip/catalogue/differences.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <utility>

#include "marjoramslip/catalogue/key_holders.h"
#include "marjoramslip/json/fields.h"
#include "shapes.h"

namespace marjoramslip {
namespace {

using json::FormatDuration;

/// Formats the fields of a service, without its name and groups.
std::map<std::string, std::string> FormatPolicies(const service_spec& service) {
  std::map<std::string, std::string> texts;
  for (const auto& field : ServiceShape()) {
    if (field.key != "name" && field.key != "groups") {
      texts[std::string(field.key)] =
          json::FormatDocument(field.write(service));
    }
  }
  return texts;
}

std::string DescribeEndpoint(const endpoint_spec& endpoint) {
  return endpoint.host + ":" + std::to_string(endpoint.port) + " in " +
         endpoint.failure_domain + ", " + std::to_string(endpoint.slots) +
         " slots, " + std::to_string(endpoint.connections) + " connections" +
         (endpoint.leaving ? ", leaving" : "");
}

/// Describes each endpoint, by its service, group and name.
std::map<std::string, std::string> DescribeEndpoints(const catalogue& value) {
  std::map<std::string, std::string> texts;
  for (const auto& [name, service] : value.services) {
    for (const group_spec& group : service.groups) {
      for (const endpoint_spec& endpoint : group.endpoints) {
        texts.emplace(name + " " + group.name + " " + endpoint.name,
                      DescribeEndpoint(endpoint));
      }
    }
  }
  return texts;
}

/// Describes each account but for its keys, which are secrets.
std::map<std::string, std::string> DescribeAccounts(const catalogue& value) {
  std::map<std::string, std::string> texts;
  for (const auto& [name, account] : value.accounts) {
    std::ostringstream text;
    if (account.operations_per_second.has_value()) {
      text << *account.operations_per_second << " operations/s, burst "
           << account.burst;
    } else {
      text << "no limit";
    }
    texts.emplace(name, text.str());
  }
  return texts;
}

std::string TypeOf(consistency reads) {
  switch (reads) {
    case consistency::kSession:
      return "session";
    case consistency::kPrimary:
      return "primary";
    case consistency::kBoundedStaleness:
      return "bounded staleness";
    case consistency::kReadYourWrites:
      return "read your writes";
  }
  return "";
}

/// Describes the parts of a route.
std::vector<std::string> DescribeRoute(const route_spec& route,
                                       bool accounts_in_use) {
  const auto time = [](duration value) {
    return value == duration::zero() ? std::string("none")
                                     : FormatDuration(value);
  };
  return {"service " + route.service,
          "type " + TypeOf(route.reads),
          "timeout " + time(route.statement_timeout),
          "objective " + time(route.objective),
          "priority " + std::to_string(route.priority),
          "greatest staleness " + time(route.max_staleness),
          !accounts_in_use || route.is_public ? "no key needed" : "key needed"};
}

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += (text.empty() ? "" : ", ") + part;
  }
  return text;
}

bool NeedsKey(const route_spec& route, const catalogue& value) {
  return value.accounts_in_use && !route.is_public;
}

void AddChangedRoute(const route_spec& route, const catalogue& from,
                     const route_spec& next, const catalogue& to,
                     std::vector<catalogue_difference>& out) {
  const auto before = DescribeRoute(route, from.accounts_in_use);
  const auto after = DescribeRoute(next, to.accounts_in_use);
  std::vector<std::string> changed_before;
  std::vector<std::string> changed_after;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i] != after[i]) {
      changed_before.push_back(before[i]);
      changed_after.push_back(after[i]);
    }
  }
  if (changed_before.empty()) {
    return;
  }
  out.push_back({change_kind::kChanged, "route", route.name,
                 Join(changed_before), Join(changed_after)});
  if (NeedsKey(next, to) && !NeedsKey(route, from)) {
    out.back().effect = "callers without the key of an account are refused";
  }
}

void AddRoutes(const catalogue& from, const catalogue& to,
               std::vector<catalogue_difference>& out) {
  for (const auto& [name, route] : from.routes) {
    const auto next = to.routes.find(name);
    if (next != to.routes.end()) {
      AddChangedRoute(route, from, next->second, to, out);
      continue;
    }
    out.push_back({change_kind::kWithdrawn, "route", name,
                   Join(DescribeRoute(route, from.accounts_in_use)), "",
                   "callers that name it are refused, connected ones from "
                   "their next statement outside a transaction on"});
  }
  for (const auto& [name, route] : to.routes) {
    if (!from.routes.contains(name)) {
      out.push_back({change_kind::kAdded, "route", name, "",
                     Join(DescribeRoute(route, to.accounts_in_use))});
    }
  }
}

/// Returns what an account's callers lose by new limits.
std::string LimitEffect(const client_account& from, const client_account& to) {
  const bool had_limit = from.operations_per_second.has_value();
  const bool has_limit = to.operations_per_second.has_value();
  if (!has_limit) {
    return "";
  }
  if (!had_limit) {
    return "the account had no limit; operations above the new one are refused";
  }
  const bool lower = *to.operations_per_second < *from.operations_per_second ||
                     to.burst < from.burst;
  return lower ? "the account's limit falls; operations above it are refused"
               : "";
}

/// The keys of an account as it declares them, and as it holds them.
struct account_keys {
  std::set<std::string_view> declared;
  std::size_t lost = 0;  ///< Held so far, and by no account from now on.
  std::map<std::string, std::size_t> moved;  ///< By the account that gets them.
};

std::set<std::string_view> KeysOf(const catalogue& value,
                                  const std::string& name) {
  const auto found = value.accounts.find(name);
  return found == value.accounts.end()
             ? std::set<std::string_view>()
             : std::set<std::string_view>(found->second.keys.begin(),
                                          found->second.keys.end());
}

std::size_t CountMissing(const std::set<std::string_view>& in,
                         const std::set<std::string_view>& of) {
  std::vector<std::string_view> missing;
  std::set_difference(of.begin(), of.end(), in.begin(), in.end(),
                      std::back_inserter(missing));
  return missing.size();
}

std::string Count(std::size_t number, const char* one, const char* many) {
  return std::to_string(number) + " " + (number == 1 ? one : many);
}

/// Describes, by account, what callers lose by a change of keys. A key counts
/// for the account that holds it.
std::map<std::string, std::string> KeyEffects(const catalogue& from,
                                              const catalogue& to) {
  std::map<std::string, account_keys> losses;
  if (from.accounts_in_use && to.accounts_in_use) {
    const key_holders before = HoldersOfKeys(from);
    const key_holders after = HoldersOfKeys(to);
    for (const auto& [key, account] : before.by_key) {
      const auto next = after.by_key.find(key);
      if (next == after.by_key.end()) {
        ++losses[account->name].lost;
      } else if (next->second->name != account->name) {
        ++losses[account->name].moved[next->second->name];
      }
    }
  }
  std::map<std::string, std::string> effects;
  for (const auto& [name, keys] : losses) {
    std::string& effect = effects[name];
    if (keys.lost > 0) {
      effect = "callers lose " + Count(keys.lost, "key", "keys") +
               ": they are refused from their next statement outside a "
               "transaction on, on routes that need one";
    }
    for (const auto& [other, count] : keys.moved) {
      effect += (effect.empty() ? "" : "; ") + Count(count, "key", "keys") +
                " held by account " + other + " from now on";
    }
  }
  return effects;
}

/// Counts the keys that accounts gain and lose.
void AddKeys(const catalogue& from, const catalogue& to,
             std::vector<catalogue_difference>& out) {
  std::set<std::string> names;
  for (const catalogue* each : {&from, &to}) {
    for (const auto& [name, account] : each->accounts) {
      names.insert(name);
    }
  }
  const auto effects = KeyEffects(from, to);
  for (const std::string& name : names) {
    const std::set<std::string_view> before = KeysOf(from, name);
    const std::set<std::string_view> after = KeysOf(to, name);
    const auto effect = effects.find(name);
    if (before == after && effect == effects.end()) {
      continue;
    }
    out.push_back({change_kind::kChanged, "account", name + " keys", "",
                   std::to_string(CountMissing(before, after)) + " added, " +
                       std::to_string(CountMissing(after, before)) +
                       " withdrawn",
                   effect == effects.end() ? "" : effect->second});
  }
}

void AddTexts(const std::map<std::string, std::string>& from,
              const std::map<std::string, std::string>& to,
              const std::string& subject, const std::string& prefix,
              std::vector<catalogue_difference>& out) {
  for (const auto& [key, text] : from) {
    if (!to.contains(key)) {
      out.push_back({change_kind::kWithdrawn, subject, prefix + key, text, ""});
    }
  }
  for (const auto& [key, text] : to) {
    const auto before = from.find(key);
    if (before == from.end()) {
      out.push_back({change_kind::kAdded, subject, prefix + key, "", text});
    } else if (before->second != text) {
      out.push_back(
          {change_kind::kChanged, subject, prefix + key, before->second, text});
    }
  }
}

void AddServices(const catalogue& from, const catalogue& to,
                 std::vector<catalogue_difference>& out) {
  for (const auto& [name, service] : from.services) {
    if (!to.services.contains(name)) {
      out.push_back({change_kind::kWithdrawn, "service", name, "", "",
                     "callers of the service are refused"});
    }
  }
  for (const auto& [name, service] : to.services) {
    const auto before = from.services.find(name);
    if (before == from.services.end()) {
      out.push_back({change_kind::kAdded, "service", name});
      continue;
    }
    AddTexts(FormatPolicies(before->second), FormatPolicies(service), "service",
             name + " ", out);
  }
}

void AddAccounts(const catalogue& from, const catalogue& to,
                 std::vector<catalogue_difference>& out) {
  if (from.accounts_in_use != to.accounts_in_use) {
    const auto text = [](bool in_use) {
      return in_use ? "in use" : "not in use";
    };
    out.push_back({change_kind::kChanged, "configuration", "accounts",
                   text(from.accounts_in_use), text(to.accounts_in_use),
                   to.accounts_in_use
                       ? "callers without the key of an account are refused on "
                         "routes that are not public"
                       : "keys are ignored and no limit applies"});
  }
  const std::size_t first = out.size();
  AddTexts(DescribeAccounts(from), DescribeAccounts(to), "account", "", out);
  for (std::size_t i = first; i < out.size(); ++i) {
    if (out[i].kind == change_kind::kChanged) {
      out[i].effect = LimitEffect(from.accounts.at(out[i].name),
                                  to.accounts.at(out[i].name));
    }
  }
  AddKeys(from, to, out);
}

}  // namespace

std::vector<catalogue_difference> FindDifferences(const catalogue& from,
                                                  const catalogue& to) {
  std::vector<catalogue_difference> out;
  AddServices(from, to, out);
  AddTexts(DescribeEndpoints(from), DescribeEndpoints(to), "endpoint", "", out);
  AddAccounts(from, to, out);
  AddRoutes(from, to, out);
  if (from.idle_transaction_limit != to.idle_transaction_limit) {
    const auto text = [](duration limit) {
      return limit == duration::zero() ? std::string("none")
                                       : FormatDuration(limit);
    };
    out.push_back(
        {change_kind::kChanged, "configuration", "limit of idle transactions",
         text(from.idle_transaction_limit), text(to.idle_transaction_limit)});
  }
  return out;
}

}  // namespace marjoramslip
