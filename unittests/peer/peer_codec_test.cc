// Messages between instances round-trip through protobuf; malformed ones are
// rejected.

#include "marjoramslip/peer/peer_codec.h"

#include <rapidcheck.h>

#include "peer.pb.h"
#include "story.h"

namespace marjoramslip::peer {
namespace {

/// Returns true if the bytes decode; any error must be kInvalid.
bool Decodes(std::span<const char> bytes, envelope& out) {
  return leaf::try_handle_all(
      [&]() -> result<bool> {
        BOOST_LEAF_ASSIGN(out, Decode(bytes));
        return true;
      },
      [](const error& failure) {
        REQUIRE(failure.kind == error_kind::kInvalid);
        return false;
      },
      [] { return false; });
}

std::string RandomName() {
  return "n" + std::to_string(*rc::gen::arbitrary<std::uint16_t>());
}

duration RandomDuration() {
  return duration(*rc::gen::inRange<std::int64_t>(0, 1LL << 40U));
}

template <typename kind>
kind RandomEnumerator(int count) {
  return static_cast<kind>(*rc::gen::inRange(0, count));
}

endpoint_spec Endpoint() {
  endpoint_spec out;
  out.name = RandomName();
  out.host = RandomName();
  out.port = *rc::gen::arbitrary<std::uint16_t>();
  out.failure_domain = RandomName();
  out.leaving = *rc::gen::arbitrary<bool>();
  out.slots = *rc::gen::arbitrary<std::uint32_t>();
  out.connections = *rc::gen::arbitrary<std::uint32_t>();
  return out;
}

service_spec Service() {
  service_spec out;
  out.name = RandomName();
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    out.groups.push_back({RandomName(), {Endpoint(), Endpoint()}});
    out.pins.emplace(RandomName(), RandomName());
  }
  out.ack = RandomEnumerator<ack_policy>(2);
  out.reads = RandomEnumerator<read_policy>(3);
  out.failover = RandomEnumerator<failover_policy>(2);
  out.replica_wait = RandomDuration();
  out.deadline = RandomDuration();
  out.sticky = RandomDuration();
  out.lease = RandomDuration();
  out.seats = *rc::gen::inRange<std::uint32_t>(1, 4097);
  out.term_bound = *rc::gen::arbitrary<bool>();
  out.acknowledging_replicas = *rc::gen::inRange<std::uint32_t>(0, 9);
  return out;
}

catalogue Catalogue() {
  catalogue out;
  out.revision = *rc::gen::arbitrary<std::uint64_t>();
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    service_spec service = Service();
    out.services.insert_or_assign(service.name, service);
  }
  out.declared_version = *rc::gen::arbitrary<std::uint64_t>();
  out.routes["r"] = {
      .name = "r", .service = "s", .is_public = *rc::gen::arbitrary<bool>()};
  out.accounts_in_use = *rc::gen::arbitrary<bool>();
  for (int i = *rc::gen::inRange(0, 3); i > 0; --i) {
    client_account account;
    account.name = "account-" + std::to_string(i);
    // Any bytes: keys are not checked for being text of an encoding.
    account.keys = *rc::gen::arbitrary<std::vector<std::string>>();
    if (*rc::gen::inRange(0, 4) > 0) {
      account.operations_per_second = *rc::gen::inRange(0, 1000) / 8.0;
    }
    account.burst = *rc::gen::inRange(0, 1000) / 8.0;
    out.accounts.emplace(account.name, account);
  }
  return out;
}

group_record Record() {
  group_record out;
  out.term = *rc::gen::arbitrary<std::uint64_t>();
  out.primary = {*rc::gen::arbitrary<std::uint64_t>()};
  out.phase = RandomEnumerator<group_phase>(3);
  out.candidate = {*rc::gen::arbitrary<std::uint64_t>()};
  out.candidate_chosen = *rc::gen::arbitrary<bool>();
  out.candidate_point = {*rc::gen::arbitrary<std::uint64_t>(), 5};
  std::vector<fork_point> forks;
  for (term_number term = 2; term < *rc::gen::inRange<term_number>(2, 9);
       ++term) {
    forks.push_back({term, term - 1, *rc::gen::arbitrary<std::uint16_t>()});
  }
  out.forks = fork_history(forks);
  for (const auto id : *rc::gen::arbitrary<std::vector<std::uint64_t>>()) {
    out.witnesses.push_back({id});
  }
  for (const auto id : *rc::gen::arbitrary<std::vector<std::uint64_t>>()) {
    out.unsettled.push_back({{id}, id / 2});
  }
  out.writer = *rc::gen::arbitrary<std::uint64_t>();
  return out;
}

}  // namespace

Test(peer_codec, records_and_catalogues_round_trip) {
  const bool holds = rc::check("round trip", [] {
    const record_update record{
        {*rc::gen::arbitrary<std::uint64_t>()},
        {Record(), *rc::gen::arbitrary<std::uint64_t>()}};
    envelope out;
    RC_ASSERT(Decodes(Encode({{7}, record}), out));
    const auto* news = std::get_if<record_update>(&out.message);
    RC_ASSERT(news != nullptr && out.from.value == 7U);
    RC_ASSERT(news->group == record.group);
    RC_ASSERT(news->record.record == record.record.record);
    RC_ASSERT(news->record.revision == record.record.revision);

    const catalogue value = Catalogue();
    RC_ASSERT(Decodes(Encode({{7}, catalogue_update{value}}), out));
    const auto* catalogues = std::get_if<catalogue_update>(&out.message);
    RC_ASSERT(catalogues != nullptr && catalogues->value == value);
  });
  EXPECT(holds);
}

Test(peer_codec, the_other_messages_round_trip) {
  const bool holds = rc::check(
      "round trip",
      [](std::uint64_t id, std::uint64_t number, std::uint32_t count) {
        const loan_grant grant{{id}, count, number, RandomDuration()};
        endpoint_evidence known{{number}, {}, RandomDuration()};
        known.state.term = id;
        known.state.log_term = number;
        known.state.position = count;
        known.state.role =
            count % 2 == 0 ? endpoint_role::kPrimary : endpoint_role::kReplica;
        known.state.received_point = {number, id};
        const evidence_update evidence{{id}, number, id, {known, known}};
        const std::vector<peer_message> messages{
            suspicion_report{{id}, {number}, id, count % 2 == 0},
            revision_update{number},
            catalogue_request{number},
            loan_request{{id}, count, number},
            grant,
            loan_return{{id}, count, number},
            evidence_request{{id}, number},
            evidence,
            serving_status{number,
                           count % 2 == 0,
                           count % 3 == 0,
                           RandomDuration(),
                           {{{id}, number}},
                           {{{number}, id}}},
            limit_request{number, {{{id}, 3, count}, {{number}, 0, 1}}},
            limit_grant{number, {{{id}, 3, true, count, RandomDuration()}}},
            limit_claim{number, count, RandomEnumerator<limit_claim::scope>(3)},
            limit_claim_ack{number,
                            count % 2 == 0,
                            count % 3 == 0,
                            count % 5 == 0,
                            count % 7 == 0,
                            {{id}, {number}},
                            {{{id}, 3, count}}},
            limit_home{count},
            leave_notice{}};
        for (const peer_message& message : messages) {
          const std::string bytes = Encode({{id}, message});
          envelope out;
          RC_ASSERT(Decodes(bytes, out));
          RC_ASSERT(out.message.index() == message.index());
          RC_ASSERT(Encode(out) == bytes);
          if (const auto* got = std::get_if<evidence_update>(&out.message)) {
            RC_ASSERT(got->ticket == number && got->record_revision == id);
            RC_ASSERT(got->endpoints.size() == 2U);
            RC_ASSERT(got->endpoints[1].endpoint == known.endpoint);
            RC_ASSERT(got->endpoints[1].state == known.state);
            RC_ASSERT(got->endpoints[1].age == known.age);
          }
          if (const auto* got = std::get_if<serving_status>(&out.message)) {
            const auto& sent = std::get<serving_status>(message);
            RC_ASSERT(got->sequence == number && got->echoes.size() == 1U);
            RC_ASSERT(got->reply_requested == sent.reply_requested &&
                      got->informed == sent.informed &&
                      got->store_lease == sent.store_lease);
            RC_ASSERT(got->echoes[0].peer.value == id &&
                      got->echoes[0].sequence == number);
            RC_ASSERT(got->records.size() == 1U &&
                      got->records[0].group.value == number &&
                      got->records[0].revision == id);
          }
          if (const auto* got = std::get_if<limit_claim_ack>(&out.message)) {
            const auto& sent = std::get<limit_claim_ack>(message);
            RC_ASSERT(got->confirmed == sent.confirmed &&
                      got->young == sent.young && got->steady == sent.steady &&
                      got->covered == sent.covered);
            RC_ASSERT(got->recent == sent.recent);
            RC_ASSERT(got->balances.size() == 1U &&
                      got->balances[0].account.value == id &&
                      got->balances[0].shard == 3U &&
                      got->balances[0].tokens == count);
          }
          if (const auto* got = std::get_if<loan_grant>(&out.message)) {
            RC_ASSERT(got->endpoint == grant.endpoint &&
                      got->loan_id == grant.loan_id);
            RC_ASSERT(got->connections == count &&
                      got->loan_duration == grant.loan_duration);
          }
        }
      });
  EXPECT(holds);
}

Test(peer_codec, malformed_messages_are_rejected) {
  envelope out;
  proto::Envelope in;
  SECTION("no message, malformed bytes, or an unknown kind") {
    EXPECT(!Decodes(std::string(), out));
    EXPECT(!Decodes(std::string("\xff\xff\xff"), out));
    EXPECT(!Decodes(std::string("\xfa\x3f\x00", 3), out));
  }
  SECTION("enumerators, ports and durations out of range") {
    in.mutable_record_news()->mutable_record()->set_phase(3);
    EXPECT(!Decodes(in.SerializeAsString(), out));
    proto::ServiceSpec& service = *in.mutable_catalogue_news()->add_services();
    service.set_name("s");
    EXPECT(Decodes(in.SerializeAsString(), out));
    service.set_lease(-1);
    EXPECT(!Decodes(in.SerializeAsString(), out));
    service.set_lease(1);
    proto::GroupSpec& group = *service.add_groups();
    group.set_name("g");
    group.add_endpoints()->set_name("e");
    EXPECT(Decodes(in.SerializeAsString(), out));
    group.mutable_endpoints(0)->set_port(65536);
    EXPECT(!Decodes(in.SerializeAsString(), out));
  }
  SECTION("evidence that is sampled after it was sent") {
    proto::Envelope relayed;
    relayed.mutable_evidence_update()->add_endpoints()->set_age(1);
    EXPECT(Decodes(relayed.SerializeAsString(), out));
    relayed.mutable_evidence_update()->mutable_endpoints(0)->set_age(-1);
    EXPECT(!Decodes(relayed.SerializeAsString(), out));
  }
  SECTION("a lease that ended before it was sent") {
    proto::Envelope status;
    status.mutable_serving_status()->set_store_lease(-1);
    EXPECT(!Decodes(status.SerializeAsString(), out));
  }
  SECTION("missing or duplicate names") {
    in.mutable_catalogue_news()->clear_services();
    in.mutable_catalogue_news()->add_services()->set_name("s");
    in.mutable_catalogue_news()->add_services()->set_name("s");
    EXPECT(!Decodes(in.SerializeAsString(), out));
    in.mutable_catalogue_news()->mutable_services(1)->set_name("");
    EXPECT(!Decodes(in.SerializeAsString(), out));
  }
  SECTION("forks out of order") {
    proto::GroupRecord& record = *in.mutable_record_news()->mutable_record();
    record.clear_phase();
    for (const int term : {3, 2}) {
      record.add_forks()->set_term(static_cast<std::uint64_t>(term));
    }
    EXPECT(!Decodes(in.SerializeAsString(), out));
  }
  SECTION("arbitrary bytes either decode or fail with kInvalid") {
    const bool holds =
        rc::check("arbitrary bytes", [](const std::string& bytes) {
          envelope ignored;
          Decodes(bytes, ignored);
        });
    EXPECT(holds);
  }
}

}  // namespace marjoramslip::peer
