// Serves the subset of etcd's JSON gateway that marjoramslip calls, and the
// control calls that put faults in force.

#include "kv_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <iostream>
#include <thread>

#include "http_service.h"
#include "kv_codec.h"
#include "kv_faults.h"
#include "signals.h"

namespace standin {

namespace {

using namespace std::chrono_literals;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr auto kTick = 20ms;

/// A refusal as the gateway words it: gRPC code and message.
struct gateway_error {
  int code = 0;
  std::string message;
};

constexpr int kNotFound = 5;
constexpr int kInvalidArgument = 3;

struct kv_service {
  explicit kv_service(std::uint64_t seed) : faults(seed) {}

  kv_store store;
  kv_faults faults;
  std::atomic<bool> ending = false;
};

void SendError(HTTPServerResponse& response, const gateway_error& error) {
  Poco::JSON::Object out;
  out.set("error", error.message);
  out.set("message", error.message);
  out.set("code", error.code);
  SendJson(response,
           error.code == kNotFound ? HTTPServerResponse::HTTP_NOT_FOUND
                                   : HTTPServerResponse::HTTP_BAD_REQUEST,
           JsonText(out));
}

json_object WrapResult(const json_object& inner) {
  json_object out(new Poco::JSON::Object);
  out->set("result", inner);
  return out;
}

json_object Single(kv_service& service, const kv_operation& operation) {
  const auto answer = service.store.Transact({}, {operation}, {});
  if (!answer) {
    throw gateway_error{kNotFound, "etcdserver: requested lease not found"};
  }
  return WriteAnswer(operation, answer->answers.front(), answer->revision);
}

json_object HandleTxn(kv_service& service, const json_object& body) {
  const kv_txn txn = ReadTxn(body);
  const auto answer =
      service.store.Transact(txn.compares, txn.success, txn.failure);
  if (!answer) {
    throw gateway_error{kNotFound, "etcdserver: requested lease not found"};
  }
  return WriteTxn(txn, *answer);
}

json_object HandleGrant(kv_service& service, const json_object& body) {
  const std::chrono::seconds ttl(IntegerMember(body, "TTL"));
  if (ttl <= 0s) {
    throw gateway_error{kInvalidArgument, "etcdserver: TTL out of range"};
  }
  const std::int64_t id = service.store.Grant(IntegerMember(body, "ID"), ttl);
  json_object out(new Poco::JSON::Object);
  out->set("header", WriteHeader(service.store.Revision()));
  out->set("ID", std::to_string(id));
  out->set("TTL", std::to_string(ttl.count()));
  return out;
}

json_object HandleKeepAlive(kv_service& service, const json_object& body) {
  const std::int64_t id = IntegerMember(body, "ID");
  const auto ttl = std::chrono::duration_cast<std::chrono::seconds>(
      service.store.KeepAlive(id));
  json_object out(new Poco::JSON::Object);
  out->set("header", WriteHeader(service.store.Revision()));
  out->set("ID", std::to_string(id));
  SetInteger(out, "TTL", ttl.count());
  return WrapResult(out);
}

json_object HandleRevoke(kv_service& service, const json_object& body) {
  if (!service.store.Revoke(IntegerMember(body, "ID"))) {
    throw gateway_error{kNotFound, "etcdserver: requested lease not found"};
  }
  json_object out(new Poco::JSON::Object);
  out->set("header", WriteHeader(service.store.Revision()));
  return out;
}

using call_function = json_object (*)(kv_service&, const json_object&);

struct call_kind {
  call_function run;
  bool writes;
};

const std::map<std::string, call_kind>& CallKinds() {
  static const std::map<std::string, call_kind> kKinds = {
      {"/v3/kv/range",
       {[](kv_service& service, const json_object& body) {
          return Single(service, ReadRange(body));
        },
        false}},
      {"/v3/kv/put",
       {[](kv_service& service, const json_object& body) {
          return Single(service, ReadPut(body));
        },
        true}},
      {"/v3/kv/deleterange",
       {[](kv_service& service, const json_object& body) {
          return Single(service, kv_delete{ReadRange(body)});
        },
        true}},
      {"/v3/kv/txn", {HandleTxn, true}},
      {"/v3/lease/grant", {HandleGrant, true}},
      {"/v3/lease/keepalive", {HandleKeepAlive, true}},
      {"/v3/lease/revoke", {HandleRevoke, true}},
      {"/v3/kv/lease/revoke", {HandleRevoke, true}},
  };
  return kKinds;
}

/// A call of the gateway other than a watch.
class call_handler : public Poco::Net::HTTPRequestHandler {
 public:
  call_handler(kv_service& service, call_kind kind)
      : service_(service), kind_(kind) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    service_.faults.Count(request.getURI());
    const kv_fate fate = service_.faults.Draw();
    if (fate.mode == kv_mode::kDown) {
      return CloseUnanswered(request);
    }
    if (fate.mode == kv_mode::kHang) {
      return Hang(request);
    }
    if (fate.mode == kv_mode::kSlow) {
      std::this_thread::sleep_for(fate.delay);
    }
    const bool lost = fate.mode == kv_mode::kLoseAnswers && kind_.writes;
    Answer(request, response, lost);
  }

 private:
  void Answer(HTTPServerRequest& request, HTTPServerResponse& response,
              bool lost) {
    try {
      const json_object body = ParseJsonObject(ReadBody(request));
      const json_object answer = kind_.run(service_, body);
      if (lost) {
        return CloseUnanswered(request);
      }
      SendJson(response, HTTPServerResponse::HTTP_OK, JsonText(*answer));
    } catch (const gateway_error& error) {
      SendError(response, error);
    } catch (const Poco::Exception& error) {
      SendError(response, {kInvalidArgument, error.displayText()});
    } catch (const std::exception& error) {
      SendError(response, {kInvalidArgument, error.what()});
    }
  }

  void Hang(HTTPServerRequest& request) {
    while (service_.faults.Mode() == kv_mode::kHang && !service_.ending) {
      std::this_thread::sleep_for(kTick);
    }
    CloseUnanswered(request);
  }

  kv_service& service_;
  call_kind kind_;
};

/// A watch: one line for each batch of changes until the client leaves.
class watch_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit watch_handler(kv_service& service) : service_(service) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    service_.faults.Count(request.getURI());
    try {
      const json_object body = ParseJsonObject(ReadBody(request));
      const json_object create = ObjectMember(body, "create_request");
      if (create.isNull()) {
        return SendError(response, {kInvalidArgument, "no create_request"});
      }
      Serve(create, request, response);
    } catch (const Poco::Exception& error) {
      std::cerr << "watch ended: " << error.displayText() << std::endl;
    }
    CloseUnanswered(request);
  }

 private:
  void Serve(const json_object& create, HTTPServerRequest& request,
             HTTPServerResponse& response) {
    const kv_range range = ReadRange(create);
    std::int64_t next = IntegerMember(create, "start_revision");
    const std::int64_t revision = service_.store.Revision();
    next = next > 0 ? next : revision + 1;
    if (!WaitUntilServed()) {
      return;
    }
    response.setContentType("application/json");
    response.setChunkedTransferEncoding(true);
    std::ostream& out = response.send();
    json_object created(new Poco::JSON::Object);
    created->set("header", WriteHeader(revision));
    created->set("created", true);
    out << JsonText(*WrapResult(created)) << "\n" << std::flush;
    while (out.good() && !service_.ending && IsConnected(request)) {
      if (!WaitUntilServed() || !SendChanges(out, range, next)) {
        return;
      }
    }
  }

  /// False if the connection is to end.
  bool WaitUntilServed() {
    while (service_.faults.Mode() == kv_mode::kHang && !service_.ending) {
      std::this_thread::sleep_for(kTick);
    }
    return service_.faults.Mode() != kv_mode::kDown;
  }

  bool SendChanges(std::ostream& out, const kv_range& range,
                   std::int64_t& next) {
    const kv_changes found = service_.store.ChangesFrom(range, next, kTick);
    if (found.compacted > 0) {
      json_object canceled(new Poco::JSON::Object);
      canceled->set("header", WriteHeader(found.revision));
      canceled->set("canceled", true);
      canceled->set("compact_revision", std::to_string(found.compacted));
      out << JsonText(*WrapResult(canceled)) << "\n" << std::flush;
      return false;
    }
    next = found.next_revision;
    if (!found.changes.empty()) {
      out << JsonText(*WrapResult(WriteChanges(found))) << "\n" << std::flush;
    }
    return true;
  }

  static bool IsConnected(HTTPServerRequest& request) {
    auto& socket =
        dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
    const bool readable =
        socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    return !readable || socket.available() > 0;
  }

  kv_service& service_;
};

/// Control calls and health.
class control_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit control_handler(kv_service& service) : service_(service) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    const std::string& path = request.getURI();
    try {
      if (path == "/control") {
        Control(ParseJsonObject(ReadBody(request)), response);
      } else if (path == "/control/stats") {
        SendCounts(response);
      } else if (path == "/health") {
        SendHealth(request, response);
      } else {
        SendError(response, {kNotFound, "Not Found"});
      }
    } catch (const Poco::Exception& error) {
      SendError(response, {kInvalidArgument, error.displayText()});
    } catch (const std::exception& error) {
      SendError(response, {kInvalidArgument, error.what()});
    }
  }

 private:
  void Control(const json_object& order, HTTPServerResponse& response) {
    const std::string text = TextMember(order, "mode");
    const auto mode = ParseKvMode(text);
    if (!text.empty() && !mode) {
      return SendError(response, {kInvalidArgument, "unknown mode " + text});
    }
    if (mode) {
      service_.faults.Set(
          *mode, std::chrono::milliseconds(IntegerMember(order, "delay_ms")),
          NumberMember(order, "probability", 1.0));
      std::cerr << "mode " << text << std::endl;
    }
    if (order->optValue("lapse_leases", false)) {
      service_.store.LapseAll();
      std::cerr << "leases lapsed" << std::endl;
    }
    SendJson(response, HTTPServerResponse::HTTP_OK, "{}");
  }

  void SendCounts(HTTPServerResponse& response) {
    Poco::JSON::Object out;
    for (const auto& [kind, count] : service_.faults.Counts()) {
      out.set(kind, count);
    }
    SendJson(response, HTTPServerResponse::HTTP_OK, JsonText(out));
  }

  void SendHealth(HTTPServerRequest& request, HTTPServerResponse& response) {
    if (service_.faults.Mode() == kv_mode::kDown) {
      return CloseUnanswered(request);
    }
    SendJson(response, HTTPServerResponse::HTTP_OK,
             R"({"health":"true","reason":""})");
  }

  kv_service& service_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit handler_factory(kv_service& service) : service_(service) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& request) override {
    const auto kind = CallKinds().find(request.getURI());
    if (kind != CallKinds().end()) {
      return new call_handler(service_, kind->second);
    }
    if (request.getURI() == "/v3/watch") {
      return new watch_handler(service_);
    }
    return new control_handler(service_);
  }

 private:
  kv_service& service_;
};

}  // namespace

int RunKv(const kv_options& options) {
  BlockEndSignals();
  kv_service service(options.seed);
  ServeHttp(
      options.host, options.port, new handler_factory(service),
      [&service] { service.store.LapseDue(); },
      [&service] { service.ending = true; });
  return 0;
}

}  // namespace standin
