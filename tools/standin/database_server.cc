// The process of a database stand-in.

#include "database_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <iostream>
#include <iterator>
#include <list>
#include <memory>
#include <random>
#include <thread>

#include "json_text.h"
#include "line_socket.h"
#include "replication.h"
#include "signals.h"

namespace standin {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kBacklog = 256;
constexpr std::chrono::milliseconds kAcceptStep{20};

/// The connections that are open; safe for use by several threads.
class session_registry {
 public:
  void Add(const std::shared_ptr<database_session>& session) {
    const std::lock_guard lock(mutex_);
    sessions_.remove_if([](const auto& each) { return each.expired(); });
    sessions_.push_back(session);
  }

  template <typename function>
  void ForEach(const function& visit) {
    const std::lock_guard lock(mutex_);
    for (const auto& each : sessions_) {
      if (const auto session = each.lock()) {
        visit(*session);
      }
    }
  }

 private:
  std::mutex mutex_;
  std::list<std::weak_ptr<database_session>> sessions_;
};

/// Everything of the process. Lives until it ends.
struct database_process {
  explicit database_process(const database_options& options)
      : state(options.primary),
        faults(options.lag),
        slots(options.slots),
        connections(options.connections),
        context{state,
                faults,
                slots,
                connections,
                options.costs,
                [this](std::uint32_t process, std::uint32_t secret) {
                  sessions.ForEach([=](database_session& each) {
                    each.Cancel(process, secret);
                  });
                }} {}

  database state;
  link_faults faults;
  counted_resource slots;
  counted_resource connections;
  session_registry sessions;
  database_context context;
};

void Accept(database_process& process, Poco::Net::ServerSocket& socket) {
  std::mt19937 random(std::random_device{}());
  std::uint32_t number = 0;
  while (true) {
    process.faults.WaitWhileFrozen();
    if (!socket.poll(ToTimespan(kAcceptStep), Poco::Net::Socket::SELECT_READ) ||
        process.faults.Frozen()) {
      continue;
    }
    const auto session = std::make_shared<database_session>(
        process.context, ++number, static_cast<std::uint32_t>(random()),
        socket.acceptConnection());
    process.sessions.Add(session);
    std::thread([session] { session->Serve(); }).detach();
  }
}

/// Orders for faults.
class order_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit order_handler(database_process& process) : process_(process) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    std::string refusal;
    try {
      const std::string body{std::istreambuf_iterator<char>(request.stream()),
                             {}};
      refusal = Obey(ParseJsonObject(body));
    } catch (const Poco::Exception& error) {
      refusal = error.displayText();
    } catch (const std::exception& error) {
      refusal = error.what();
    }
    Poco::JSON::Object out;
    out.set("state", process_.state.State());
    if (!refusal.empty()) {
      out.set("error", refusal);
      response.setStatus(HTTPServerResponse::HTTP_BAD_REQUEST);
    }
    const std::string text = JsonText(out);
    response.setContentType("application/json");
    response.sendBuffer(text.data(), text.size());
  }

 private:
  /// What is wrong with the order; empty if it was carried out.
  std::string Obey(const json_object& order) {
    if (order->has("lag_ms")) {
      process_.faults.SetLag(
          std::chrono::milliseconds(IntegerMember(order, "lag_ms")));
    }
    const std::string mode = TextMember(order, "mode");
    if (mode.empty()) {
      return "";
    }
    std::cerr << "mode " << mode << std::endl;
    if (mode == "up") {
      process_.faults.Heal();
    } else if (mode == "freeze") {
      process_.faults.Freeze();
    } else if (mode == "silence") {
      process_.sessions.ForEach([](database_session& each) { each.Silence(); });
    } else if (mode == "cut_peers") {
      process_.faults.CutPeers();
    } else if (mode == "cut_callers") {
      CutCallers(order);
    } else {
      return "unknown mode " + mode;
    }
    return "";
  }

  void CutCallers(const json_object& order) {
    std::set<std::string> names;
    const Poco::JSON::Array::Ptr from = order->getArray("from");
    for (unsigned int index = 0; !from.isNull() && index < from->size();
         ++index) {
      names.insert(from->getElement<std::string>(index));
    }
    process_.faults.CutCallers(std::move(names));
    process_.sessions.ForEach([this](database_session& each) {
      each.SilenceIfNamed(process_.faults);
    });
  }

  database_process& process_;
};

class order_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit order_factory(database_process& process) : process_(process) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& /*request*/) override {
    return new order_handler(process_);
  }

 private:
  database_process& process_;
};

}  // namespace

int RunDatabase(const database_options& options) {
  BlockEndSignals();
  database_process process(options);
  replicator peers(process.state, process.faults, options.peers);
  Poco::Net::ServerSocket socket(
      Poco::Net::SocketAddress(options.host, options.port), kBacklog);
  Poco::Net::ServerSocket control_socket(
      Poco::Net::SocketAddress(options.host, options.control_port));
  Poco::Net::HTTPServer control(new order_factory(process), control_socket,
                                new Poco::Net::HTTPServerParams);
  control.start();
  std::thread([&peers] { peers.Run(); }).detach();
  std::thread([&process, &socket] { Accept(process, socket); }).detach();
  std::cout << "listening " << socket.address().toString() << "\n"
            << "control " << control_socket.address().toString() << std::endl;
  std::cerr << options.name << " starts as " << process.state.State()
            << std::endl;
  WaitForEndSignal();
  // Connections are served by detached threads: leave without destructors.
  std::_Exit(0);
}

}  // namespace standin
