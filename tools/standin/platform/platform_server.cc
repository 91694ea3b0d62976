// Puts the parts of the platform's stand-in together, and takes orders.

#include "platform_server.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "../http_service.h"
#include "../signals.h"
#include "platform_store.h"
#include "promotion_faults.h"

namespace standin {

namespace {

/// Everything that runs.
class platform_world {
 public:
  explicit platform_world(const platform_options& options);

  platform_store& Store() { return store_; }
  /// Ends leases, and writes what databases say of themselves.
  void Tick();
  /// Nothing: there is no answer.
  std::optional<store_answer> Promote(const json_object& body,
                                      const std::string& holder,
                                      const std::string& fence);
  /// Faults and configurations on command.
  store_answer Control(const json_object& order);
  store_answer Databases();
  store_answer Runs() const;

 private:
  struct registered {
    std::string said;  ///< Without its sequence.
    std::int64_t sequence = 0;
    std::int64_t born = 0;
    std::chrono::steady_clock::time_point written;
  };

  void Register(std::size_t index);
  std::string Describe(std::size_t index) const;
  line_server* Find(const std::string& id);
  void Order(line_server& target, const json_object& order);

  platform_store store_;
  std::chrono::milliseconds beat_;
  line_group group_;
  run_journal journal_;
  answer_faults answer_faults_;
  std::vector<std::unique_ptr<line_server>> servers_;
  std::vector<registered> registered_;
  promotion_faults promotion_faults_;
  std::int64_t newest_fence_ = 0;
};

platform_world::platform_world(const platform_options& options)
    : store_(options.seed),
      beat_(options.beat),
      group_(options.group),
      answer_faults_(options.seed) {
  for (std::size_t i = 0; i < group_.Size(); ++i) {
    line_server_options one = options.database;
    one.id = one.service + "-" + std::to_string(i + 1);
    one.zone = "zone-" + std::to_string(i + 1);
    servers_.push_back(std::make_unique<line_server>(one, group_, i, journal_,
                                                     answer_faults_));
  }
  registered_.resize(group_.Size());
}

void platform_world::Tick() {
  store_.Tick();
  store_.Keys().LapseDue();
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    Register(i);
  }
}

void platform_world::Register(std::size_t index) {
  const line_server& server = *servers_[index];
  registered& entry = registered_[index];
  const auto now = std::chrono::steady_clock::now();
  const std::string key = "servers/" + server.Options().id;
  if (!servers_[index]->Running()) {
    if (!entry.said.empty() && now - entry.written >= 3 * beat_) {
      store_.Remove(key);
      entry.said.clear();
    }
    return;
  }
  if (now < server.SilentUntil()) {
    return;
  }
  const std::string said = Describe(index);
  if (said == entry.said && now - entry.written < beat_) {
    return;
  }
  if (server.Born() != entry.born) {
    entry.born = server.Born();
    entry.sequence = 0;
  }
  entry.said = said;
  entry.written = now;
  json_object body = ParseJsonObject(said);
  body->set("seq", ++entry.sequence);
  store_.Put(key, JsonText(*body));
}

std::string platform_world::Describe(std::size_t index) const {
  line_server& server = *servers_[index];
  json_object body(new Poco::JSON::Object);
  body->set("service", server.Options().service);
  body->set("addr", server.Address());
  body->set("zone", server.Options().zone);
  body->set("version", "v1");
  body->set("slots", server.Options().slots);
  body->set("state", server.Draining() ? "draining" : "ready");
  body->set("coldLeftMs", 0);
  body->set("dbRole", server.State().primary ? "primary" : "replica");
  body->set("born", server.Born());
  return JsonText(*body);
}

line_server* platform_world::Find(const std::string& id) {
  for (const auto& one : servers_) {
    if (one->Options().id == id) {
      return one.get();
    }
  }
  return nullptr;
}

std::optional<store_answer> platform_world::Promote(const json_object& body,
                                                    const std::string& holder,
                                                    const std::string& fence) {
  const std::int64_t number = std::stoll(fence);
  const std::string id = TextMember(body, "id");
  line_server* const target = Find(id);
  const promotion_fault fault = promotion_faults_.Take({id, holder, number});
  const bool stale = number < newest_fence_;
  newest_fence_ = std::max(newest_fence_, number);
  store_answer answer;
  answer.status = fault.answer;
  if (stale || target == nullptr || !target->Running()) {
    answer.status = fault.answer == 0 ? 0 : 409;
    answer.body->set(
        "error", stale ? "the fence is old" : "this database is not running");
  } else if (fault.effect) {
    group_.Promote(target->Index(), fault.effect_late);
  }
  std::this_thread::sleep_for(fault.answer_late);
  return answer.status == 0 ? std::nullopt : std::optional(answer);
}

void platform_world::Order(line_server& target, const json_object& body) {
  const std::string order = TextMember(body, "order");
  if (order == "crash") {
    target.Crash();
  } else if (order == "start") {
    target.SetDark(false);
    target.SetDraining(false);
    target.Start(std::chrono::milliseconds(IntegerMember(body, "silent_ms")));
  } else if (order == "dark" || order == "light") {
    target.SetDark(order == "dark");
  } else if (order == "drain") {
    target.SetDraining(true);
  } else {
    throw Poco::InvalidArgumentException("unknown order " + order);
  }
}

store_answer platform_world::Control(const json_object& order) {
  store_answer answer;
  if (const std::string text = TextMember(order, "mode"); !text.empty()) {
    const auto mode = ParseKvMode(text);
    if (!mode) {
      throw Poco::InvalidArgumentException("unknown mode " + text);
    }
    store_.Faults().Set(
        *mode, std::chrono::milliseconds(IntegerMember(order, "delay_ms")),
        NumberMember(order, "probability", 1.0));
  }
  if (order->optValue("lapse_leases", false)) {
    store_.Keys().LapseAll();
  }
  if (order->optValue("compact", false)) {
    store_.Keys().Compact();
  }
  if (const json_object config = ObjectMember(order, "config")) {
    store_.Put("op/config", JsonText(*config));
  }
  if (order->has("promotion")) {
    promotion_faults_.Set(ObjectsMember(order, "promotion"));
  }
  if (const json_object repeat = ObjectMember(order, "repeat_answers")) {
    answer_faults_.Set(repeat);
  }
  if (const json_object drill = ObjectMember(order, "drill")) {
    store_.Drill(std::chrono::milliseconds(IntegerMember(drill, "age_ms")),
                 std::chrono::milliseconds(IntegerMember(drill, "away_ms")));
  }
  if (order->has("tell_era")) {
    store_.SetTellsEra(order->getValue<bool>("tell_era"));
  }
  if (order->has("refuse_statements")) {
    answer_faults_.SetRefused(NumberMember(order, "refuse_statements", 0.0));
  }
  // An entry of another writer: any key, any bytes.
  if (const json_object put = ObjectMember(order, "put")) {
    store_.Put(TextMember(put, "key"), TextMember(put, "value"));
  }
  if (const std::string id = TextMember(order, "database"); !id.empty()) {
    line_server* const target = Find(id);
    if (target == nullptr) {
      throw Poco::InvalidArgumentException("no database " + id);
    }
    Order(*target, order);
  }
  return answer;
}

store_answer platform_world::Databases() {
  Poco::JSON::Array::Ptr all(new Poco::JSON::Array);
  for (const auto& one : servers_) {
    const line_state state = one->State();
    json_object row(new Poco::JSON::Object);
    row->set("id", one->Options().id);
    row->set("addr", one->Address());
    row->set("running", state.running);
    row->set("primary", state.primary);
    row->set("term", state.held.term);
    row->set("position", state.held.number);
    row->set("received", state.received.number);
    row->set("paused", state.paused);
    row->set("connections", one->Open().load());
    row->set("born", one->Born());
    all->add(row);
  }
  Poco::JSON::Array::Ptr calls(new Poco::JSON::Array);
  Poco::JSON::Array::Ptr duties(new Poco::JSON::Array);
  for (const promotion_call& call : promotion_faults_.Calls()) {
    calls->add(call.id);
    json_object row(new Poco::JSON::Object);
    row->set("holder", call.holder);
    row->set("fence", call.fence);
    duties->add(row);
  }
  store_answer answer;
  answer.body->set("databases", all);
  answer.body->set("promotion_calls", calls);
  answer.body->set("promotion_duties", duties);
  answer.body->set("repeated_answers", answer_faults_.Repeats());
  return answer;
}

store_answer platform_world::Runs() const {
  Poco::JSON::Array::Ptr all(new Poco::JSON::Array);
  for (const statement_run& one : journal_.All()) {
    json_object row(new Poco::JSON::Object);
    row->set("id", one.id);
    row->set("text", one.text);
    row->set("database", one.database);
    row->set("owner", one.owner);
    row->set("client", one.client);
    all->add(row);
  }
  store_answer answer;
  answer.body->set("runs", all);
  return answer;
}

/// Calls that are not the store's.
class world_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit world_handler(platform_world& world) : world_(world) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    std::optional<store_answer> answer;
    try {
      answer = Answer(request);
    } catch (const std::exception& error) {
      answer.emplace();
      answer->status = 400;
      answer->body->set("error", std::string(error.what()));
    }
    if (answer) {
      SendAnswer(response, *answer);
    } else {
      CloseUnanswered(request);
    }
  }

 private:
  std::optional<store_answer> Answer(Poco::Net::HTTPServerRequest& request) {
    const std::string& path = request.getURI();
    if (path == "/promote") {
      return world_.Promote(ParseJsonObject(ReadBody(request)),
                            request.get("X-Duty-Holder", ""),
                            request.get("X-Fence-Token", "0"));
    }
    if (path == "/control") {
      return world_.Control(ParseJsonObject(ReadBody(request)));
    }
    return path == "/control/runs" ? world_.Runs() : world_.Databases();
  }

  platform_world& world_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit handler_factory(platform_world& world) : world_(world) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override {
    if (request.getURI().starts_with("/api/")) {
      return new store_handler(world_.Store());
    }
    return new world_handler(world_);
  }

 private:
  platform_world& world_;
};

}  // namespace

int RunPlatform(const platform_options& options) {
  BlockEndSignals();
  platform_world world(options);
  ServeHttp(
      "127.0.0.1", options.port, new handler_factory(world),
      [&world] { world.Tick(); }, [&world] { world.Store().End(); });
  return 0;
}

}  // namespace standin
