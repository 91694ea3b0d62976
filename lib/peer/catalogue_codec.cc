// Converts the catalogue and group records to and from protobuf.

#include "catalogue_codec.h"

#include <cmath>
#include <limits>
#include <utility>
#include <vector>

namespace marjoramslip::peer {
namespace {

/// Converts a number to an enumerator; fails with kInvalid if it exceeds
/// `last`.
template <typename enumerator>
result<enumerator> ReadEnumerator(std::uint32_t number, enumerator last) {
  if (number > static_cast<std::uint32_t>(last)) {
    return Fail(error_kind::kInvalid, "enumerator value out of range");
  }
  return static_cast<enumerator>(number);
}

result<duration> ReadDuration(std::int64_t microseconds) {
  if (microseconds < 0) {
    return Fail(error_kind::kInvalid, "negative duration");
  }
  return duration(microseconds);
}

void Write(const endpoint_spec& value, proto::EndpointSpec& out) {
  out.set_name(value.name);
  out.set_host(value.host);
  out.set_port(value.port);
  out.set_failure_domain(value.failure_domain);
  out.set_leaving(value.leaving);
  out.set_slots(value.slots);
  out.set_connections(value.connections);
  out.set_identity(value.identity);
}

void Write(const route_spec& value, proto::RouteSpec& out) {
  out.set_name(value.name);
  out.set_service(value.service);
  out.set_reads(static_cast<std::uint32_t>(value.reads));
  out.set_max_staleness(value.max_staleness.count());
  out.set_statement_timeout(value.statement_timeout.count());
  out.set_objective(value.objective.count());
  out.set_priority(value.priority);
  out.set_is_public(value.is_public);
}

void Write(const client_account& value, proto::ClientAccount& out) {
  out.set_name(value.name);
  for (const std::string& key : value.keys) {
    out.add_keys(key);
  }
  if (value.operations_per_second.has_value()) {
    out.set_operations_per_second(*value.operations_per_second);
  }
  out.set_burst(value.burst);
}

result<client_account> Read(const proto::ClientAccount& in) {
  const auto is_amount = [](double number) {
    return std::isfinite(number) && number >= 0;
  };
  if (in.name().empty()) {
    return Fail(error_kind::kInvalid, "account without a name");
  }
  if (!is_amount(in.operations_per_second()) || !is_amount(in.burst())) {
    return Fail(error_kind::kInvalid, "limit of an account out of range");
  }
  return client_account{
      .name = in.name(),
      .keys = {in.keys().begin(), in.keys().end()},
      .operations_per_second = in.has_operations_per_second()
                                   ? std::optional(in.operations_per_second())
                                   : std::nullopt,
      .burst = in.burst()};
}

result<route_spec> Read(const proto::RouteSpec& in) {
  if (in.name().empty()) {
    return Fail(error_kind::kInvalid, "route without a name");
  }
  route_spec out;
  out.name = in.name();
  out.service = in.service();
  BOOST_LEAF_ASSIGN(out.reads,
                    ReadEnumerator(in.reads(), consistency::kReadYourWrites));
  BOOST_LEAF_ASSIGN(out.max_staleness, ReadDuration(in.max_staleness()));
  BOOST_LEAF_ASSIGN(out.statement_timeout,
                    ReadDuration(in.statement_timeout()));
  BOOST_LEAF_ASSIGN(out.objective, ReadDuration(in.objective()));
  out.priority = in.priority();
  out.is_public = in.is_public();
  return out;
}

result<endpoint_spec> Read(const proto::EndpointSpec& in) {
  if (in.name().empty()) {
    return Fail(error_kind::kInvalid, "endpoint without a name");
  }
  if (in.port() > std::numeric_limits<std::uint16_t>::max()) {
    return Fail(error_kind::kInvalid, "endpoint port out of range");
  }
  endpoint_spec out;
  out.name = in.name();
  out.host = in.host();
  out.port = static_cast<std::uint16_t>(in.port());
  out.failure_domain = in.failure_domain();
  out.leaving = in.leaving();
  out.slots = in.slots();
  out.connections = in.connections();
  out.identity = in.identity();
  return out;
}

void Write(const service_spec& value, proto::ServiceSpec& out) {
  out.set_name(value.name);
  for (const group_spec& group : value.groups) {
    proto::GroupSpec* to = out.add_groups();
    to->set_name(group.name);
    for (const endpoint_spec& endpoint : group.endpoints) {
      Write(endpoint, *to->add_endpoints());
    }
  }
  out.set_ack(static_cast<std::uint32_t>(value.ack));
  out.set_reads(static_cast<std::uint32_t>(value.reads));
  out.set_failover(static_cast<std::uint32_t>(value.failover));
  out.set_replica_wait(value.replica_wait.count());
  out.set_deadline(value.deadline.count());
  out.set_sticky(value.sticky.count());
  out.set_lease(value.lease.count());
  out.set_seats(value.seats);
  out.set_statements_without_term(!value.term_bound);
  out.set_acknowledging_replicas(value.acknowledging_replicas);
  for (const auto& [tenant, group] : value.pins) {
    (*out.mutable_pins())[tenant] = group;
  }
}

result<group_spec> Read(const proto::GroupSpec& in) {
  if (in.name().empty()) {
    return Fail(error_kind::kInvalid, "group without a name");
  }
  group_spec out;
  out.name = in.name();
  for (const proto::EndpointSpec& endpoint : in.endpoints()) {
    BOOST_LEAF_AUTO(spec, Read(endpoint));
    out.endpoints.push_back(std::move(spec));
  }
  return out;
}

result<void> ReadPolicies(const proto::ServiceSpec& in, service_spec& out) {
  BOOST_LEAF_ASSIGN(out.ack, ReadEnumerator(in.ack(), ack_policy::kReplica));
  BOOST_LEAF_ASSIGN(out.reads,
                    ReadEnumerator(in.reads(), read_policy::kSticky));
  BOOST_LEAF_ASSIGN(out.failover,
                    ReadEnumerator(in.failover(), failover_policy::kLease));
  BOOST_LEAF_ASSIGN(out.replica_wait, ReadDuration(in.replica_wait()));
  BOOST_LEAF_ASSIGN(out.deadline, ReadDuration(in.deadline()));
  BOOST_LEAF_ASSIGN(out.sticky, ReadDuration(in.sticky()));
  BOOST_LEAF_ASSIGN(out.lease, ReadDuration(in.lease()));
  return {};
}

result<service_spec> Read(const proto::ServiceSpec& in) {
  if (in.name().empty()) {
    return Fail(error_kind::kInvalid, "service without a name");
  }
  service_spec out;
  out.name = in.name();
  BOOST_LEAF_CHECK(ReadPolicies(in, out));
  // Releases without seats do not send the field; the default applies then.
  out.seats = in.seats() != 0 ? in.seats() : out.seats;
  out.term_bound = !in.statements_without_term();
  out.acknowledging_replicas = in.acknowledging_replicas();
  for (const proto::GroupSpec& group : in.groups()) {
    BOOST_LEAF_AUTO(spec, Read(group));
    out.groups.push_back(std::move(spec));
  }
  for (const auto& [tenant, group] : in.pins()) {
    out.pins.emplace(tenant, group);
  }
  return out;
}

/// Decodes the forks of a record. Fails with kInvalid unless their terms ascend
/// and each is greater than its parent.
result<fork_history> ReadForks(const proto::GroupRecord& in) {
  std::vector<fork_point> forks;
  for (const proto::ForkPoint& fork : in.forks()) {
    const bool ascends = forks.empty() || fork.term() > forks.back().term;
    if (!ascends || fork.parent() >= fork.term()) {
      return Fail(error_kind::kInvalid, "forks out of order");
    }
    forks.push_back({fork.term(), fork.parent(), fork.start()});
  }
  return fork_history(std::move(forks));
}

}  // namespace

void Write(const group_record& value, proto::GroupRecord& out) {
  out.set_term(value.term);
  out.set_primary(value.primary.value);
  out.set_phase(static_cast<std::uint32_t>(value.phase));
  out.set_candidate(value.candidate.value);
  out.set_candidate_chosen(value.candidate_chosen);
  out.mutable_candidate_point()->set_term(value.candidate_point.term);
  out.mutable_candidate_point()->set_position(value.candidate_point.position);
  for (const fork_point& fork : value.forks.Forks()) {
    proto::ForkPoint* to = out.add_forks();
    to->set_term(fork.term);
    to->set_parent(fork.parent);
    to->set_start(fork.start);
  }
  for (const endpoint_id witness : value.witnesses) {
    out.add_witnesses(witness.value);
  }
  for (const unsettled_promotion& promotion : value.unsettled) {
    proto::UnsettledPromotion& entry = *out.add_unsettled();
    entry.set_target(promotion.target.value);
    entry.set_revision(promotion.revision);
  }
  out.set_writer(value.writer);
}

result<group_record> Read(const proto::GroupRecord& in) {
  group_record out;
  out.term = in.term();
  out.primary = {in.primary()};
  BOOST_LEAF_ASSIGN(out.phase,
                    ReadEnumerator(in.phase(), group_phase::kSealed));
  out.candidate = {in.candidate()};
  out.candidate_chosen = in.candidate_chosen();
  out.candidate_point = {in.candidate_point().term(),
                         in.candidate_point().position()};
  BOOST_LEAF_ASSIGN(out.forks, ReadForks(in));
  for (const std::uint64_t witness : in.witnesses()) {
    out.witnesses.push_back({witness});
  }
  for (const proto::UnsettledPromotion& entry : in.unsettled()) {
    out.unsettled.push_back({{entry.target()}, entry.revision()});
  }
  out.writer = in.writer();
  return out;
}

void Write(const catalogue& value, proto::CatalogueNews& out) {
  out.set_revision(value.revision);
  for (const auto& [name, service] : value.services) {
    Write(service, *out.add_services());
  }
  out.set_routed(value.routed);
  for (const auto& [name, route] : value.routes) {
    Write(route, *out.add_routes());
  }
  out.set_idle_transaction_limit(value.idle_transaction_limit.count());
  out.set_accounts_in_use(value.accounts_in_use);
  for (const auto& [name, account] : value.accounts) {
    Write(account, *out.add_accounts());
  }
  out.set_declared_version(value.declared_version);
}

result<catalogue> Read(const proto::CatalogueNews& in) {
  catalogue out;
  out.revision = in.revision();
  for (const proto::ServiceSpec& service : in.services()) {
    BOOST_LEAF_AUTO(spec, Read(service));
    const std::string name = spec.name;
    if (!out.services.emplace(name, std::move(spec)).second) {
      return Fail(error_kind::kInvalid, "duplicate service");
    }
  }
  out.routed = in.routed();
  for (const proto::RouteSpec& route : in.routes()) {
    BOOST_LEAF_AUTO(spec, Read(route));
    const std::string name = spec.name;
    if (!out.routes.emplace(name, std::move(spec)).second) {
      return Fail(error_kind::kInvalid, "duplicate route");
    }
  }
  BOOST_LEAF_ASSIGN(out.idle_transaction_limit,
                    ReadDuration(in.idle_transaction_limit()));
  out.accounts_in_use = in.accounts_in_use();
  for (const proto::ClientAccount& account : in.accounts()) {
    BOOST_LEAF_AUTO(spec, Read(account));
    const std::string name = spec.name;
    if (!out.accounts.emplace(name, std::move(spec)).second) {
      return Fail(error_kind::kInvalid, "duplicate account");
    }
  }
  out.declared_version = in.declared_version();
  return out;
}

}  // namespace marjoramslip::peer
