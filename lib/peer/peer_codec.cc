// Converts messages between instances to and from protobuf.

#include "marjoramslip/peer/peer_codec.h"

#include <limits>
#include <utility>
#include <variant>

#include "catalogue_codec.h"
#include "peer.pb.h"

namespace marjoramslip::peer {
namespace {

/// Writes a message into the envelope field for its type.
class writer {
 public:
  explicit writer(proto::Envelope& out) : out_(out) {}

  void operator()(const suspicion_report& value) {
    proto::SuspicionReport& to = *out_.mutable_suspicion_report();
    to.set_group(value.group.value);
    to.set_endpoint(value.endpoint.value);
    to.set_term(value.term);
    to.set_suspected(value.suspected);
  }
  void operator()(const record_update& value) {
    proto::RecordNews& to = *out_.mutable_record_news();
    to.set_group(value.group.value);
    Write(value.record.record, *to.mutable_record());
    to.set_revision(value.record.revision);
  }
  void operator()(const revision_update& value) {
    proto::RevisionNews& to = *out_.mutable_revision_news();
    to.set_revision(value.revision);
    to.set_declared_version(value.declared_version);
  }
  void operator()(const catalogue_request& value) {
    proto::CatalogueRequest& to = *out_.mutable_catalogue_request();
    to.set_have(value.known_revision);
    to.set_have_declared_version(value.known_declared_version);
  }
  void operator()(const catalogue_update& value) {
    Write(value.value, *out_.mutable_catalogue_news());
  }
  void operator()(const loan_request& value) {
    WriteLoan(value, *out_.mutable_loan_request());
  }
  void operator()(const loan_grant& value) {
    WriteLoan(value, *out_.mutable_loan_grant());
    out_.mutable_loan_grant()->set_length(value.loan_duration.count());
  }
  void operator()(const loan_return& value) {
    WriteLoan(value, *out_.mutable_loan_return());
  }
  void operator()(const record_ack& value) {
    out_.mutable_record_ack()->set_group(value.group.value);
    out_.mutable_record_ack()->set_revision(value.revision);
  }
  void operator()(const leave_notice& /*value*/) { out_.mutable_farewell(); }
  void operator()(const evidence_request& value) {
    out_.mutable_evidence_request()->set_group(value.group.value);
    out_.mutable_evidence_request()->set_ticket(value.ticket);
  }
  void operator()(const evidence_update& value) {
    proto::EvidenceUpdate& to = *out_.mutable_evidence_update();
    to.set_group(value.group.value);
    to.set_ticket(value.ticket);
    to.set_record_revision(value.record_revision);
    for (const endpoint_evidence& known : value.endpoints) {
      proto::EndpointEvidence& entry = *to.add_endpoints();
      entry.set_endpoint(known.endpoint.value);
      entry.set_term(known.state.term);
      WritePoint(known.state.Point(), *entry.mutable_log());
      entry.set_primary(known.state.role == endpoint_role::kPrimary);
      WritePoint(known.state.received_point, *entry.mutable_received());
      entry.set_age(known.age.count());
    }
  }
  void operator()(const serving_status& value) {
    proto::ServingStatus& to = *out_.mutable_serving_status();
    to.set_sequence(value.sequence);
    to.set_reply_requested(value.reply_requested);
    to.set_informed(value.informed);
    to.set_store_lease(value.store_lease.count());
    for (const serving_echo& echo : value.echoes) {
      proto::ServingEcho& entry = *to.add_echoes();
      entry.set_peer(echo.peer.value);
      entry.set_sequence(echo.sequence);
    }
    for (const record_revision& record : value.records) {
      proto::RecordRevision& entry = *to.add_records();
      entry.set_group(record.group.value);
      entry.set_revision(record.revision);
    }
  }

  void operator()(const limit_request& value) {
    proto::LimitRequest& to = *out_.mutable_limit_request();
    to.set_ticket(value.ticket);
    for (const limit_request::part& part : value.parts) {
      proto::LimitRequest::Part& entry = *to.add_parts();
      entry.set_account(part.account.value);
      entry.set_shard(part.shard);
      entry.set_wanted(part.wanted);
    }
  }
  void operator()(const limit_grant& value) {
    proto::LimitGrant& to = *out_.mutable_limit_grant();
    to.set_ticket(value.ticket);
    for (const limit_grant::part& part : value.parts) {
      proto::LimitGrant::Part& entry = *to.add_parts();
      entry.set_account(part.account.value);
      entry.set_shard(part.shard);
      entry.set_is_home(part.is_home);
      entry.set_tokens(part.tokens);
      entry.set_retry_after(part.retry_after.count());
    }
  }

  void operator()(const limit_claim& value) {
    proto::LimitClaim& to = *out_.mutable_limit_claim();
    to.set_ticket(value.ticket);
    to.set_shards(value.shards);
    to.set_scope(static_cast<std::uint32_t>(value.asked));
  }
  void operator()(const limit_claim_ack& value) {
    proto::LimitClaimAck& to = *out_.mutable_limit_claim_ack();
    to.set_ticket(value.ticket);
    to.set_confirmed(value.confirmed);
    to.set_young(value.young);
    to.set_steady(value.steady);
    to.set_covered(value.covered);
    for (const instance_id id : value.recent) {
      to.add_recent(id.value);
    }
    for (const limit_claim_ack::balance& left : value.balances) {
      proto::LimitClaimAck::Balance& entry = *to.add_balances();
      entry.set_account(left.account.value);
      entry.set_shard(left.shard);
      entry.set_tokens(left.tokens);
    }
  }
  void operator()(const limit_home& value) {
    out_.mutable_limit_home()->set_shards(value.shards);
  }

 private:
  template <typename from, typename to>
  static void WriteLoan(const from& value, to& out) {
    out.set_endpoint(value.endpoint.value);
    out.set_connections(value.connections);
    out.set_loan(value.loan_id);
  }
  static void WritePoint(log_point value, proto::LogPoint& out) {
    out.set_term(value.term);
    out.set_position(value.position);
  }

  proto::Envelope& out_;
};

template <typename to, typename from>
to ReadLoan(const from& in) {
  to out;
  out.endpoint = {in.endpoint()};
  out.connections = in.connections();
  out.loan_id = in.loan();
  return out;
}

peer_message ReadSuspicion(const proto::SuspicionReport& in) {
  return suspicion_report{
      {in.group()}, {in.endpoint()}, in.term(), in.suspected()};
}

result<peer_message> ReadRecord(const proto::RecordNews& in) {
  BOOST_LEAF_AUTO(record, Read(in.record()));
  return peer_message(
      record_update{{in.group()}, {std::move(record), in.revision()}});
}

result<peer_message> ReadCatalogue(const proto::CatalogueNews& in) {
  BOOST_LEAF_AUTO(value, Read(in));
  return peer_message(catalogue_update{std::move(value)});
}

result<peer_message> ReadGrant(const proto::LoanGrant& in) {
  if (in.length() < 0) {
    return Fail(error_kind::kInvalid, "loan grant with a negative duration");
  }
  auto grant = ReadLoan<loan_grant>(in);
  grant.loan_duration = duration(in.length());
  return peer_message(grant);
}

result<peer_message> ReadEvidence(const proto::EvidenceUpdate& in) {
  evidence_update out{{in.group()}, in.ticket(), in.record_revision(), {}};
  for (const proto::EndpointEvidence& entry : in.endpoints()) {
    if (entry.age() < 0) {
      return Fail(error_kind::kInvalid, "evidence from the future");
    }
    endpoint_evidence known;
    known.endpoint = {entry.endpoint()};
    known.state.term = entry.term();
    known.state.log_term = entry.log().term();
    known.state.position = entry.log().position();
    known.state.role =
        entry.primary() ? endpoint_role::kPrimary : endpoint_role::kReplica;
    known.state.received_point = {entry.received().term(),
                                  entry.received().position()};
    known.age = duration(entry.age());
    out.endpoints.push_back(known);
  }
  return peer_message(std::move(out));
}

result<peer_message> ReadServingStatus(const proto::ServingStatus& in) {
  if (in.store_lease() < 0) {
    return Fail(error_kind::kInvalid, "lease with a negative duration");
  }
  serving_status out;
  out.sequence = in.sequence();
  out.reply_requested = in.reply_requested();
  out.informed = in.informed();
  out.store_lease = duration(in.store_lease());
  for (const proto::ServingEcho& entry : in.echoes()) {
    out.echoes.push_back({{entry.peer()}, entry.sequence()});
  }
  for (const proto::RecordRevision& entry : in.records()) {
    out.records.push_back({{entry.group()}, entry.revision()});
  }
  return peer_message(std::move(out));
}

peer_message ReadLimitRequest(const proto::LimitRequest& in) {
  limit_request out;
  out.ticket = in.ticket();
  for (const proto::LimitRequest::Part& entry : in.parts()) {
    out.parts.push_back({{entry.account()}, entry.shard(), entry.wanted()});
  }
  return out;
}

result<peer_message> ReadLimitGrant(const proto::LimitGrant& in) {
  limit_grant out;
  out.ticket = in.ticket();
  for (const proto::LimitGrant::Part& entry : in.parts()) {
    if (entry.retry_after() < 0) {
      return Fail(error_kind::kInvalid, "grant with a negative duration");
    }
    out.parts.push_back({{entry.account()},
                         entry.shard(),
                         entry.is_home(),
                         entry.tokens(),
                         duration(entry.retry_after())});
  }
  return peer_message(std::move(out));
}

result<peer_message> ReadLimitClaim(const proto::LimitClaim& in) {
  const auto last = static_cast<std::uint32_t>(limit_claim::scope::kActing);
  if (in.scope() > last) {
    return Fail(error_kind::kInvalid, "claim of an unknown scope");
  }
  return peer_message(limit_claim{in.ticket(), in.shards(),
                                  static_cast<limit_claim::scope>(in.scope())});
}

peer_message ReadLimitClaimAck(const proto::LimitClaimAck& in) {
  limit_claim_ack out{.ticket = in.ticket(),
                      .confirmed = in.confirmed(),
                      .young = in.young(),
                      .steady = in.steady(),
                      .covered = in.covered(),
                      .recent = {},
                      .balances = {}};
  for (const std::uint64_t id : in.recent()) {
    out.recent.push_back({id});
  }
  for (const proto::LimitClaimAck::Balance& entry : in.balances()) {
    out.balances.push_back({{entry.account()}, entry.shard(), entry.tokens()});
  }
  return out;
}

result<peer_message> ReadMessage(const proto::Envelope& in) {
  switch (in.message_case()) {
    case proto::Envelope::kSuspicionReport:
      return ReadSuspicion(in.suspicion_report());
    case proto::Envelope::kRecordNews:
      return ReadRecord(in.record_news());
    case proto::Envelope::kRevisionNews:
      return peer_message(
          revision_update{in.revision_news().revision(),
                          in.revision_news().declared_version()});
    case proto::Envelope::kCatalogueRequest:
      return peer_message(
          catalogue_request{in.catalogue_request().have(),
                            in.catalogue_request().have_declared_version()});
    case proto::Envelope::kCatalogueNews:
      return ReadCatalogue(in.catalogue_news());
    case proto::Envelope::kLoanRequest:
      return peer_message(ReadLoan<loan_request>(in.loan_request()));
    case proto::Envelope::kLoanGrant:
      return ReadGrant(in.loan_grant());
    case proto::Envelope::kLoanReturn:
      return peer_message(ReadLoan<loan_return>(in.loan_return()));
    case proto::Envelope::kFarewell:
      return peer_message(leave_notice{});
    case proto::Envelope::kRecordAck:
      return peer_message(
          record_ack{{in.record_ack().group()}, in.record_ack().revision()});
    case proto::Envelope::kEvidenceRequest:
      return peer_message(evidence_request{{in.evidence_request().group()},
                                           in.evidence_request().ticket()});
    case proto::Envelope::kEvidenceUpdate:
      return ReadEvidence(in.evidence_update());
    case proto::Envelope::kServingStatus:
      return ReadServingStatus(in.serving_status());
    case proto::Envelope::kLimitRequest:
      return ReadLimitRequest(in.limit_request());
    case proto::Envelope::kLimitGrant:
      return ReadLimitGrant(in.limit_grant());
    case proto::Envelope::kLimitClaim:
      return ReadLimitClaim(in.limit_claim());
    case proto::Envelope::kLimitClaimAck:
      return ReadLimitClaimAck(in.limit_claim_ack());
    case proto::Envelope::kLimitHome:
      return peer_message(limit_home{in.limit_home().shards()});
    case proto::Envelope::MESSAGE_NOT_SET:
      break;
  }
  return Fail(error_kind::kInvalid, "peer message of an unknown kind");
}

}  // namespace

std::string Encode(const envelope& value) {
  proto::Envelope out;
  out.set_from(value.from.value);
  out.set_relay(value.relay);
  out.set_reply_to(value.reply_to);
  std::visit(writer(out), value.message);
  return out.SerializeAsString();
}

result<envelope> Decode(std::span<const char> bytes) {
  proto::Envelope in;
  const bool size_in_range = bytes.size() <= std::numeric_limits<int>::max();
  if (!size_in_range ||
      !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Fail(error_kind::kInvalid, "malformed peer message");
  }
  BOOST_LEAF_AUTO(message, ReadMessage(in));
  return envelope{{in.from()}, std::move(message), in.relay(), in.reply_to()};
}

}  // namespace marjoramslip::peer
