// POCO's HTTP server with as many threads as watches may want.

#include "http_service.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/ThreadPool.h>

#include <chrono>
#include <iostream>
#include <iterator>
#include <thread>

#include "signals.h"

namespace standin {

namespace {

constexpr std::chrono::milliseconds kTick{20};
/// Each watch holds a thread.
constexpr int kMaxThreads = 512;
constexpr int kMinThreads = 16;

}  // namespace

std::string ReadBody(Poco::Net::HTTPServerRequest& request) {
  return {std::istreambuf_iterator<char>(request.stream()), {}};
}

void CloseUnanswered(Poco::Net::HTTPServerRequest& request) {
  auto& whole = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
  whole.detachSocket().close();
}

void SendJson(Poco::Net::HTTPServerResponse& response, int status,
              const std::string& text) {
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
  response.setContentType("application/json");
  response.sendBuffer(text.data(), text.size());
}

void ServeHttp(const std::string& host, std::uint16_t port,
               Poco::Net::HTTPRequestHandlerFactory* factory,
               const std::function<void()>& tick,
               const std::function<void()>& end) {
  Poco::Net::ServerSocket socket(Poco::Net::SocketAddress(host, port));
  Poco::ThreadPool threads(kMinThreads, kMaxThreads);
  auto* const params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kMaxThreads);
  params->setKeepAlive(true);
  Poco::Net::HTTPServer server(factory, threads, socket, params);
  server.start();
  std::cout << "listening " << socket.address().toString() << std::endl;
  const std::jthread ticker([&tick](const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      tick();
      std::this_thread::sleep_for(kTick);
    }
  });
  WaitForEndSignal();
  end();
  server.stopAll(true);
}

}  // namespace standin
