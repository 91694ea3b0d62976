// Calls of the platform's store, on the keys that the other stand-in of a
// store uses too.

#include "platform_store.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/URI.h>

#include <algorithm>
#include <iterator>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "../http_service.h"

namespace standin {

namespace {

using namespace std::chrono_literals;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr auto kTick = 20ms;
/// Copies for drills.
constexpr auto kCopyInterval = 100ms;
constexpr auto kOldestCopy = 10s;
/// What an answer takes.
constexpr auto kAnswerTime = 4ms;
constexpr std::int64_t kPageItems = 500;
constexpr std::int64_t kMaxWaitMs = 30'000;
constexpr std::int64_t kMinLeaseMs = 1000;
constexpr std::int64_t kMaxLeaseMs = 600'000;
constexpr std::size_t kMaxEntries = 32;

constexpr std::string_view kLeasePath = "/api/kv-keep/";
constexpr std::string_view kLeaseEndPath = "/api/kv-lease-end/";

/// All keys that begin with `prefix` and come after `after`.
kv_range Below(const std::string& prefix, const std::string& after) {
  kv_range range;
  range.key = after.empty() ? prefix : after + std::string(1, '\0');
  range.range_end = std::string(1, '\0');
  if (!prefix.empty()) {
    range.range_end = prefix;
    ++range.range_end.back();
  }
  return range;
}

store_answer Refuse(int status, const std::string& text) {
  store_answer answer;
  answer.status = status;
  answer.body->set("error", text);
  return answer;
}

bool IsReserved(const std::string& key) {
  return key.starts_with("op/") || key.starts_with("servers/");
}

std::string ValueOr(const std::map<std::string, std::string>& all,
                    const std::string& name, const std::string& otherwise) {
  const auto found = all.find(name);
  return found == all.end() ? otherwise : found->second;
}

}  // namespace

bool call_budget::Take() {
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  if (now - second_ >= 1s) {
    second_ = now;
    used_ = 0;
  }
  return used_++ < per_second_;
}

void platform_store::Put(const std::string& key, const std::string& value) {
  keys_.Transact({}, {kv_put{key, value, 0}}, {});
}

void platform_store::Remove(const std::string& key) {
  keys_.Transact({}, {kv_delete{{key, "", 0}}}, {});
}

void platform_store::Drill(std::chrono::milliseconds age,
                           std::chrono::milliseconds away) {
  const std::lock_guard lock(drill_mutex_);
  const auto now = std::chrono::steady_clock::now();
  const auto young = std::find_if(
      copies_.begin(), copies_.end(),
      [&](const timed_copy& one) { return one.taken > now - age; });
  restored_ = young == copies_.begin() ? keys_.Copy() : std::prev(young)->copy;
  back_at_ = now + away;
  away_ = true;
}

void platform_store::Tick() {
  const std::lock_guard lock(drill_mutex_);
  const auto now = std::chrono::steady_clock::now();
  if (away_ && now >= back_at_) {
    ComeBack();
  }
  if (copies_.empty() || now - copies_.back().taken >= kCopyInterval) {
    copies_.push_back({now, keys_.Copy()});
  }
  while (now - copies_.front().taken > kOldestCopy) {
    copies_.pop_front();
  }
}

void platform_store::ComeBack() {
  const kv_copy lost = keys_.Copy();
  keys_.Restore(restored_);
  for (const auto& [key, pair] : lost.pairs) {
    const auto kept = restored_.pairs.find(key);
    const bool same =
        kept != restored_.pairs.end() && kept->second.value == pair.value;
    if (IsReserved(key) && !same) {
      Put(key, pair.value);
    }
  }
  for (const auto& [key, pair] : restored_.pairs) {
    if (IsReserved(key) && !lost.pairs.contains(key)) {
      Remove(key);
    }
  }
  copies_.clear();
  ++era_;
  away_ = false;
}

bool platform_store::Writes(const std::string& method, const std::string& uri) {
  return method != "GET" && !uri.starts_with(kLeasePath);
}

store_answer platform_store::Call(const std::string& method,
                                  const std::string& uri,
                                  const std::string& body) {
  const Poco::URI parsed(uri);
  const std::string& path = parsed.getPath();
  query asked;
  for (const auto& [name, value] : parsed.getQueryParameters()) {
    asked[name] = value;
  }
  if (!(Writes(method, path) ? writes_ : reads_).Take()) {
    return Refuse(429, "too many calls");
  }
  if (method == "GET" && path == "/api/kv-key") {
    return Item(asked);
  }
  if (method == "GET" && path == "/api/kv-range") {
    return Page(asked);
  }
  if (method == "GET" && path == "/api/kv-watch") {
    return Watch(asked);
  }
  if (method == "POST" && path == "/api/kv-txn") {
    return Transact(ParseJsonObject(body));
  }
  if (method == "POST" && path == "/api/kv-lease") {
    return Grant(ParseJsonObject(body));
  }
  if (method == "POST" && path.starts_with(kLeasePath)) {
    return Keep(path.substr(kLeasePath.size()));
  }
  if (method == "DELETE" && path.starts_with(kLeaseEndPath)) {
    return EndLease(path.substr(kLeaseEndPath.size()));
  }
  return Refuse(404, "no such call");
}

json_object platform_store::Describe(const kv_pair& pair) const {
  json_object item(new Poco::JSON::Object);
  item->set("key", pair.key);
  item->set("value", EncodeBase64(pair.value));
  item->set("rev", pair.mod_revision);
  item->set("created", pair.create_revision);
  item->set("lease", pair.lease);
  return item;
}

store_answer platform_store::Item(const query& asked) {
  const kv_range range{ValueOr(asked, "key", ""), "", 0};
  const auto found = keys_.Transact({}, {range}, {});
  const std::vector<kv_pair>& pairs = found->answers.at(0).pairs;
  if (pairs.empty()) {
    return Refuse(404, "no such key");
  }
  store_answer answer;
  answer.body = Describe(pairs[0]);
  answer.body->set("storeRevision", keys_.Revision());
  return answer;
}

store_answer platform_store::Page(const query& asked) {
  kv_range range =
      Below(ValueOr(asked, "prefix", ""), ValueOr(asked, "after", ""));
  range.limit = kPageItems;
  const auto found = keys_.Transact({}, {range}, {});
  Poco::JSON::Array::Ptr items(new Poco::JSON::Array);
  for (const kv_pair& one : found->answers.at(0).pairs) {
    items->add(Describe(one));
  }
  store_answer answer;
  answer.body->set("items", items);
  answer.body->set("hasMore", found->answers.at(0).more);
  answer.body->set("storeRevision", found->revision);
  return answer;
}

store_answer platform_store::Watch(const query& asked) {
  const kv_range range = Below(ValueOr(asked, "prefix", ""), "");
  std::int64_t next = std::stoll(ValueOr(asked, "after", "0")) + 1;
  const std::int64_t wait = std::min(std::stoll(ValueOr(asked, "waitMs", "0")),
                                     static_cast<long long>(kMaxWaitMs));
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
  Poco::JSON::Array::Ptr events(new Poco::JSON::Array);
  std::int64_t revision = 0;
  do {
    if (next > keys_.Revision() + 1) {
      return Refuse(410, "the store has no such revision");
    }
    const kv_changes found = keys_.ChangesFrom(range, next, kTick);
    if (found.compacted > 0) {
      return Refuse(410, "the history is gone");
    }
    for (const kv_change& one : found.changes) {
      json_object event(new Poco::JSON::Object);
      if (one.erased) {
        event->set("key", one.now.key);
        event->set("rev", one.now.mod_revision);
        event->set("tombstone", true);
      } else {
        event = Describe(one.now);
      }
      events->add(event);
    }
    next = found.next_revision;
    revision = found.next_revision - 1;
  } while (events->empty() && !ending_ &&
           std::chrono::steady_clock::now() < end);
  store_answer answer;
  answer.body->set("events", events);
  answer.body->set("storeRevision", revision);
  return answer;
}

store_answer platform_store::Transact(const json_object& body) {
  std::vector<kv_compare> compares;
  std::vector<kv_operation> writes;
  for (const json_object& one : ObjectsMember(body, "expect")) {
    compares.push_back(
        {TextMember(one, "key"), kv_target::kMod, IntegerMember(one, "rev")});
  }
  for (const json_object& one : ObjectsMember(body, "setKeys")) {
    writes.push_back(kv_put{TextMember(one, "key"),
                            DecodeBase64(TextMember(one, "value")),
                            IntegerMember(one, "lease")});
    if (IsReserved(TextMember(one, "key"))) {
      return Refuse(403, "this key belongs to others");
    }
  }
  if (const auto removed = body->getArray("remove")) {
    for (unsigned i = 0; i < removed->size(); ++i) {
      writes.push_back(kv_delete{{removed->getElement<std::string>(i), "", 0}});
    }
  }
  if (compares.size() + writes.size() > kMaxEntries) {
    return Refuse(400, "too many entries");
  }
  const auto done = keys_.Transact(compares, writes, {});
  if (!done) {
    return Refuse(404, "no such lease");
  }
  if (!done->succeeded) {
    return Refuse(412, "a condition does not hold");
  }
  store_answer answer;
  answer.body->set("rev", done->revision);
  return answer;
}

store_answer platform_store::Grant(const json_object& body) {
  const std::int64_t wanted = IntegerMember(body, "ttlMs");
  if (wanted < kMinLeaseMs || wanted > kMaxLeaseMs) {
    return Refuse(400, "ttlMs out of range");
  }
  store_answer answer;
  answer.body->set("lease", keys_.Grant(0, std::chrono::milliseconds(wanted)));
  answer.body->set("ttlMs", wanted);
  return answer;
}

store_answer platform_store::Keep(const std::string& id) {
  const auto left = keys_.KeepAlive(std::stoll(id));
  if (left == 0ms) {
    return Refuse(404, "the lease has ended");
  }
  store_answer answer;
  answer.body->set("ttlMs", static_cast<std::int64_t>(left.count()));
  return answer;
}

store_answer platform_store::EndLease(const std::string& id) {
  return keys_.Revoke(std::stoll(id)) ? store_answer{}
                                      : Refuse(404, "no such lease");
}

void SendAnswer(HTTPServerResponse& response, const store_answer& answer) {
  SendJson(response, answer.status, JsonText(*answer.body));
}

void store_handler::handleRequest(HTTPServerRequest& request,
                                  HTTPServerResponse& response) {
  const std::string uri = request.getURI();
  const std::string body = ReadBody(request);
  store_.Faults().Count(uri.substr(0, uri.find('?')));
  const kv_fate fate = store_.Faults().Draw();
  std::this_thread::sleep_for(fate.mode == kv_mode::kSlow ? fate.delay
                                                          : kAnswerTime);
  const std::uint64_t era = store_.Era();
  if (fate.mode == kv_mode::kDown || store_.Away()) {
    return CloseUnanswered(request);
  }
  while (store_.Faults().Mode() == kv_mode::kHang && !store_.Ending()) {
    std::this_thread::sleep_for(kTick);
  }
  store_answer answer;
  try {
    answer = store_.Call(request.getMethod(), uri, body);
  } catch (const std::exception& error) {
    answer = Refuse(400, error.what());
  }
  const bool lost = fate.mode == kv_mode::kLoseAnswers &&
                    platform_store::Writes(request.getMethod(), uri);
  if (lost) {
    return CloseUnanswered(request);
  }
  if (era != store_.Era()) {
    return CloseUnanswered(request);
  }
  if (store_.TellsEra()) {
    response.set("Store-Era", std::to_string(era));
  }
  SendAnswer(response, answer);
}

}  // namespace standin
