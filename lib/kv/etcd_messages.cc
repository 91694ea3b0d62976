// Formats requests and parses answers of the gateway of etcd v3. Byte strings
// are base64, 64-bit numbers are strings, and fields with default values are
// omitted.

#include "etcd_messages.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <iterator>
#include <sstream>

#include "marjoramslip/json/document.h"
#include "marjoramslip/kv/base64.h"

namespace marjoramslip::kv::etcd {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Object::Ptr MakeObject() { return new Object(Poco::JSON_PRESERVE_KEY_ORDER); }

std::string Write(const Object::Ptr& object) {
  return json::FormatDocument(object);
}

void SetKeys(Object& target, std::string_view prefix, bool exact) {
  target.set("key", EncodeBase64(prefix));
  if (!exact) {
    target.set("range_end", EncodeBase64(PrefixEnd(prefix)));
  }
}

Object::Ptr FormatMutation(const mutation& write) {
  Object::Ptr operation = MakeObject();
  operation->set("key", EncodeBase64(write.key));
  Object::Ptr wrapped = MakeObject();
  if (write.erase) {
    wrapped->set("request_delete_range", operation);
    return wrapped;
  }
  operation->set("value", EncodeBase64(write.value));
  if (write.lease != 0) {
    operation->set("lease", std::to_string(write.lease));
  }
  wrapped->set("request_put", operation);
  return wrapped;
}

// Parsing helpers. They throw POCO's exceptions, which ParseBody converts to
// errors.

Object::Ptr ParseObject(std::string_view body) {
  Poco::JSON::Parser parser;
  return parser.parse(std::string(body)).extract<Object::Ptr>();
}

template <typename number>
number GetNumber(const Object& from, const std::string& key) {
  return from.has(key) ? from.getValue<number>(key) : 0;
}

Object::Ptr GetRequiredObject(const Object& from, const std::string& key) {
  Object::Ptr found = from.getObject(key);
  if (found.isNull()) {
    throw Poco::DataException("missing field " + key);
  }
  return found;
}

std::string GetBytes(const Object& from, const std::string& key) {
  if (!from.has(key)) {
    return {};
  }
  const result<std::string> bytes =
      DecodeBase64(from.getValue<std::string>(key));
  if (!bytes) {
    throw Poco::DataException("malformed base64 in field " + key);
  }
  return bytes.value();
}

std::uint64_t HeaderRevision(const Object& from) {
  return GetNumber<Poco::UInt64>(*GetRequiredObject(from, "header"),
                                 "revision");
}

entry ParseEntry(const Object& from) {
  entry parsed;
  parsed.key = GetBytes(from, "key");
  parsed.value = GetBytes(from, "value");
  parsed.create_revision = GetNumber<Poco::UInt64>(from, "create_revision");
  parsed.mod_revision = GetNumber<Poco::UInt64>(from, "mod_revision");
  parsed.lease = GetNumber<Poco::UInt64>(from, "lease");
  return parsed;
}

/// Returns the "result" object that wraps messages of streams; without one,
/// returns `from`.
Object::Ptr Unwrap(const Object::Ptr& from) {
  const Object::Ptr inner = from->getObject("result");
  return inner.isNull() ? from : inner;
}

/// Calls `read` with the parsed body; converts exceptions to kInvalid.
template <typename answer, typename reader>
result<answer> ParseBody(std::string_view body, reader read) {
  try {
    const Object::Ptr object = ParseObject(body);
    return result<answer>(read(*Unwrap(object)));
  } catch (const std::exception& caught) {
    return Fail(error_kind::kInvalid,
                std::string("malformed answer of the key-value service: ") +
                    caught.what());
  }
}

}  // namespace

std::string PrefixEnd(std::string_view prefix) {
  constexpr char kLastByte = '\xff';
  std::string end(prefix);
  while (!end.empty() && end.back() == kLastByte) {
    end.pop_back();
  }
  if (end.empty()) {
    return {'\0'};
  }
  end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1U);
  return end;
}

std::string RangeRequest(std::string_view prefix, bool exact) {
  Object::Ptr request = MakeObject();
  SetKeys(*request, prefix, exact);
  return Write(request);
}

std::string TransactRequest(const std::vector<condition>& conditions,
                            const std::vector<mutation>& writes) {
  Array::Ptr compare = new Array;
  for (const condition& required : conditions) {
    Object::Ptr test = MakeObject();
    test->set("key", EncodeBase64(required.key));
    test->set("target", "MOD");
    test->set("result", "EQUAL");
    test->set("mod_revision", std::to_string(required.mod_revision));
    compare->add(test);
  }
  Array::Ptr success = new Array;
  for (const mutation& write : writes) {
    success->add(FormatMutation(write));
  }
  Object::Ptr request = MakeObject();
  request->set("compare", compare);
  request->set("success", success);
  return Write(request);
}

std::string GrantRequest(std::chrono::seconds ttl) {
  Object::Ptr request = MakeObject();
  request->set("TTL", std::to_string(ttl.count()));
  return Write(request);
}

std::string LeaseRequest(std::uint64_t lease) {
  Object::Ptr request = MakeObject();
  request->set("ID", std::to_string(lease));
  return Write(request);
}

std::string WatchRequest(std::string_view prefix, std::uint64_t revision) {
  Object::Ptr create = MakeObject();
  SetKeys(*create, prefix, false);
  create->set("start_revision", std::to_string(revision));
  Object::Ptr request = MakeObject();
  request->set("create_request", create);
  return Write(request);
}

result<range_result> ParseRange(std::string_view body) {
  return ParseBody<range_result>(body, [](const Object& from) {
    range_result found;
    found.revision = HeaderRevision(from);
    const Array::Ptr entries = from.getArray("kvs");
    for (unsigned i = 0; !entries.isNull() && i < entries->size(); ++i) {
      found.entries.push_back(ParseEntry(*entries->getObject(i)));
    }
    return found;
  });
}

result<transact_answer> ParseTransact(std::string_view body) {
  return ParseBody<transact_answer>(body, [](const Object& from) {
    return transact_answer{from.optValue("succeeded", false),
                           HeaderRevision(from)};
  });
}

result<std::uint64_t> ParseGrant(std::string_view body) {
  BOOST_LEAF_AUTO(id, (ParseBody<std::uint64_t>(body, [](const Object& from) {
                    return GetNumber<Poco::UInt64>(from, "ID");
                  })));
  if (id == 0) {
    return Fail(error_kind::kInvalid, "granted lease without an id");
  }
  return id;
}

result<std::int64_t> ParseKeepAlive(std::string_view body) {
  return ParseBody<std::int64_t>(body, [](const Object& from) {
    return GetNumber<Poco::Int64>(from, "TTL");
  });
}

result<watch_answer> ParseWatch(std::string_view line) {
  return ParseBody<watch_answer>(line, [](const Object& from) {
    watch_answer answer;
    answer.canceled = from.optValue("canceled", false);
    answer.oldest_revision = GetNumber<Poco::UInt64>(from, "compact_revision");
    if (from.optValue("created", false) && from.has("header")) {
      answer.created_at_revision = HeaderRevision(from);
    }
    const Array::Ptr events = from.getArray("events");
    for (unsigned i = 0; !events.isNull() && i < events->size(); ++i) {
      const Object::Ptr event = events->getObject(i);
      const bool erased =
          event->optValue("type", std::string("PUT")) == "DELETE";
      answer.changes.push_back(
          {ParseEntry(*GetRequiredObject(*event, "kv")), erased});
    }
    return answer;
  });
}

}  // namespace marjoramslip::kv::etcd
