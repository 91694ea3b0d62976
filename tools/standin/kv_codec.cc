// The JSON of etcd's gateway.

#include "kv_codec.h"

#include <Poco/Exception.h>

namespace standin {

namespace {

json_object NewObject() { return json_object(new Poco::JSON::Object); }

json_object WritePair(const kv_pair& pair) {
  json_object out = NewObject();
  out->set("key", EncodeBase64(pair.key));
  SetInteger(out, "create_revision", pair.create_revision);
  SetInteger(out, "mod_revision", pair.mod_revision);
  SetInteger(out, "version", pair.version);
  if (!pair.value.empty()) {
    out->set("value", EncodeBase64(pair.value));
  }
  SetInteger(out, "lease", pair.lease);
  return out;
}

kv_compare ReadCompare(const json_object& request) {
  kv_compare compare;
  compare.key = DecodeBase64(TextMember(request, "key"));
  const std::string result = TextMember(request, "result");
  if (!result.empty() && result != "EQUAL") {
    throw Poco::NotImplementedException("compare result", result);
  }
  const std::string target = TextMember(request, "target");
  if (target == "MOD") {
    compare.target = kv_target::kMod;
    compare.value = IntegerMember(request, "mod_revision");
  } else if (target == "CREATE") {
    compare.target = kv_target::kCreate;
    compare.value = IntegerMember(request, "create_revision");
  } else if (target.empty() || target == "VERSION") {
    compare.value = IntegerMember(request, "version");
  } else {
    throw Poco::NotImplementedException("compare target", target);
  }
  return compare;
}

kv_operation ReadOperation(const json_object& request) {
  if (const auto put = ObjectMember(request, "request_put"); !put.isNull()) {
    return ReadPut(put);
  }
  if (const auto range = ObjectMember(request, "request_range");
      !range.isNull()) {
    return ReadRange(range);
  }
  if (const auto erase = ObjectMember(request, "request_delete_range");
      !erase.isNull()) {
    return kv_delete{ReadRange(erase)};
  }
  throw Poco::NotImplementedException("operation of a transaction");
}

std::vector<kv_operation> ReadOperations(const json_object& request,
                                         const std::string& name) {
  std::vector<kv_operation> operations;
  for (const json_object& each : ObjectsMember(request, name)) {
    operations.push_back(ReadOperation(each));
  }
  return operations;
}

const char* AnswerName(const kv_operation& operation) {
  if (std::holds_alternative<kv_range>(operation)) {
    return "response_range";
  }
  return std::holds_alternative<kv_put>(operation) ? "response_put"
                                                   : "response_delete_range";
}

}  // namespace

void SetInteger(json_object object, const std::string& name,
                std::int64_t value) {
  if (value != 0) {
    object->set(name, std::to_string(value));
  }
}

kv_range ReadRange(const json_object& request) {
  return {DecodeBase64(TextMember(request, "key")),
          DecodeBase64(TextMember(request, "range_end")),
          IntegerMember(request, "limit")};
}

kv_put ReadPut(const json_object& request) {
  return {DecodeBase64(TextMember(request, "key")),
          DecodeBase64(TextMember(request, "value")),
          IntegerMember(request, "lease")};
}

kv_txn ReadTxn(const json_object& request) {
  kv_txn txn;
  for (const json_object& each : ObjectsMember(request, "compare")) {
    txn.compares.push_back(ReadCompare(each));
  }
  txn.success = ReadOperations(request, "success");
  txn.failure = ReadOperations(request, "failure");
  return txn;
}

json_object WriteHeader(std::int64_t revision) {
  json_object header = NewObject();
  header->set("cluster_id", "1");
  header->set("member_id", "1");
  header->set("revision", std::to_string(revision));
  header->set("raft_term", "1");
  return header;
}

json_object WriteAnswer(const kv_operation& asked, const kv_answer& answer,
                        std::int64_t revision) {
  json_object out = NewObject();
  out->set("header", WriteHeader(revision));
  if (std::holds_alternative<kv_delete>(asked)) {
    SetInteger(out, "deleted", answer.deleted);
  }
  if (!answer.pairs.empty()) {
    Poco::JSON::Array::Ptr pairs(new Poco::JSON::Array);
    for (const kv_pair& pair : answer.pairs) {
      pairs->add(WritePair(pair));
    }
    out->set("kvs", pairs);
  }
  if (answer.more) {
    out->set("more", true);
  }
  SetInteger(out, "count", answer.count);
  return out;
}

json_object WriteTxn(const kv_txn& asked, const kv_txn_answer& answer) {
  json_object out = NewObject();
  out->set("header", WriteHeader(answer.revision));
  if (answer.succeeded) {
    out->set("succeeded", true);
  }
  const auto& operations = answer.succeeded ? asked.success : asked.failure;
  if (operations.empty()) {
    return out;
  }
  Poco::JSON::Array::Ptr responses(new Poco::JSON::Array);
  for (std::size_t index = 0; index < operations.size(); ++index) {
    json_object response = NewObject();
    response->set(
        AnswerName(operations[index]),
        WriteAnswer(operations[index], answer.answers[index], answer.revision));
    responses->add(response);
  }
  out->set("responses", responses);
  return out;
}

json_object WriteChanges(const kv_changes& changes) {
  Poco::JSON::Array::Ptr events(new Poco::JSON::Array);
  for (const kv_change& change : changes.changes) {
    json_object event = NewObject();
    if (change.erased) {
      event->set("type", "DELETE");
    }
    event->set("kv", WritePair(change.now));
    events->add(event);
  }
  json_object out = NewObject();
  out->set("header", WriteHeader(changes.revision));
  out->set("events", events);
  return out;
}

}  // namespace standin
