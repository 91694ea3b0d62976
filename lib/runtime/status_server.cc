// A small HTTP server of Poco's.

#include "status_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>

#include <string>
#include <string_view>
#include <utility>

namespace marjoramslip::shell {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kMaxThreads = 4;
constexpr int kMaxQueued = 16;
constexpr int kBacklog = 16;
constexpr int kTimeoutSeconds = 5;
constexpr const char* kTextType = "text/plain; version=0.0.4; charset=utf-8";
constexpr const char* kJsonType = "application/json";

void Answer(HTTPServerResponse& response, HTTPResponse::HTTPStatus status,
            const char* type, std::string_view body) {
  response.setStatusAndReason(status);
  response.setContentType(type);
  response.sendBuffer(body.data(), body.size());
}

class status_handler : public Poco::Net::HTTPRequestHandler {
 public:
  status_handler(status_source& source, const std::string& ready_path)
      : source_(source), ready_path_(ready_path) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    try {
      Handle(request, response);
    } catch (const Poco::Exception&) {
      // The other side has gone, or sent what is no URI.
      response.setKeepAlive(false);
    }
  }

 private:
  void Handle(HTTPServerRequest& request, HTTPServerResponse& response) {
    const Poco::URI uri(request.getURI());
    const bool get = request.getMethod() == HTTPRequest::HTTP_GET;
    if (get && uri.getPath() == "/metrics") {
      AnswerText(response, kTextType, source_.Metrics());
      return;
    }
    if (get && uri.getPath() == "/status") {
      AnswerText(response, kJsonType, source_.Status());
      return;
    }
    if (get && uri.getPath() == ready_path_) {
      const bool ready = source_.Ready();
      Answer(response,
             ready ? HTTPResponse::HTTP_OK
                   : HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
             kJsonType, "{}");
      return;
    }
    Answer(response, HTTPResponse::HTTP_NOT_FOUND, kTextType, "not found\n");
  }

  static void AnswerText(HTTPServerResponse& response, const char* type,
                         const std::optional<std::string>& text) {
    if (!text) {
      Answer(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, kTextType,
             "busy\n");
      return;
    }
    Answer(response, HTTPResponse::HTTP_OK, type, *text);
  }

  status_source& source_;
  const std::string& ready_path_;
};

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  handler_factory(status_source& source, std::string ready_path)
      : source_(source), ready_path_(std::move(ready_path)) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& /*request*/) override {
    return new status_handler(source_, ready_path_);
  }

 private:
  status_source& source_;
  std::string ready_path_;
};

Poco::Net::HTTPServerParams::Ptr MakeParams() {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kMaxQueued);
  params->setTimeout(Poco::Timespan(kTimeoutSeconds, 0));
  params->setKeepAlive(false);
  return params;
}

class poco_status_server : public status_server {
 public:
  poco_status_server(const Poco::Net::ServerSocket& socket,
                     const std::string& ready_path, status_source& source)
      : threads_(1, kMaxThreads),
        server_(new handler_factory(source, ready_path), threads_, socket,
                MakeParams()) {
    server_.start();
  }
  ~poco_status_server() override {
    server_.stopAll(true);
    threads_.joinAll();
  }
  poco_status_server(const poco_status_server&) = delete;
  poco_status_server& operator=(const poco_status_server&) = delete;

  std::uint16_t Port() const override { return server_.port(); }

 private:
  Poco::ThreadPool threads_;
  Poco::Net::HTTPServer server_;
};

}  // namespace

result<std::unique_ptr<status_server>> MakeStatusServer(
    const listen_address& address, const std::string& ready_path,
    status_source& source) {
  try {
    Poco::Net::ServerSocket socket;
    // Not shared: Poco's default would let two processes have the port.
    socket.bind(Poco::Net::SocketAddress(address.host, address.port), true,
                false);
    socket.listen(kBacklog);
    std::unique_ptr<status_server> server =
        std::make_unique<poco_status_server>(socket, ready_path, source);
    return server;
  } catch (const Poco::Exception& failed) {
    return Fail(error_kind::kUnavailable,
                "status address " + address.host + ":" +
                    std::to_string(address.port) + ": " + failed.displayText());
  }
}

}  // namespace marjoramslip::shell
