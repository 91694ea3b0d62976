// An HTTP server on an ephemeral port with answers defined by the test.

#ifndef MARJORAMSLIP_UNITTESTS_KV_FAKE_GATEWAY_H_
#define MARJORAMSLIP_UNITTESTS_KV_FAKE_GATEWAY_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>

#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace marjoramslip::kv {

/// The answer to a request.
struct fake_reply {
  int status = 200;
  std::string body;
  bool drop = false;     ///< Closes the connection without an answer.
  bool chunked = false;  ///< Answers with a stream.
  duration delay{};      ///< Wait before the answer.
  duration stay_open{};  ///< Wait after the body of a stream.
  std::string era = {};  ///< Value of the header Store-Era; empty: none.
};

/// Answers each request with the result of a function of its path and body.
class fake_gateway {
 public:
  using answer_function =
      std::function<fake_reply(const std::string&, const std::string&)>;

  explicit fake_gateway(answer_function answer)
      : answer_(std::move(answer)),
        socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        server_(new factory(*this), socket_, Parameters()) {
    server_.start();
  }
  /// Waits for the server's threads: one that still answers while the program
  /// ends would use strings of the library that are destroyed already.
  ~fake_gateway() {
    server_.stopAll(true);
    Poco::ThreadPool::defaultPool().joinAll();
  }
  fake_gateway(const fake_gateway&) = delete;
  fake_gateway& operator=(const fake_gateway&) = delete;

  std::string Address() const {
    return "http://127.0.0.1:" + std::to_string(socket_.address().port());
  }

  /// Returns "path body" of each request so far.
  std::vector<std::string> Requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  class handler : public Poco::Net::HTTPRequestHandler {
   public:
    explicit handler(fake_gateway& owner) : owner_(owner) {}
    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
      owner_.Handle(request, response);
    }

   private:
    fake_gateway& owner_;
  };

  class factory : public Poco::Net::HTTPRequestHandlerFactory {
   public:
    explicit factory(fake_gateway& owner) : owner_(owner) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(
        const Poco::Net::HTTPServerRequest&) override {
      return new handler(owner_);
    }

   private:
    fake_gateway& owner_;
  };

  static Poco::Net::HTTPServerParams::Ptr Parameters() {
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(8);
    return params;
  }

  void Handle(Poco::Net::HTTPServerRequest& request,
              Poco::Net::HTTPServerResponse& response) {
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    {
      const std::lock_guard lock(mutex_);
      requests_.push_back(request.getURI() + " " + body);
    }
    const fake_reply reply = answer_(request.getURI(), body);
    std::this_thread::sleep_for(reply.delay);
    if (reply.drop) {
      auto& inner = static_cast<Poco::Net::HTTPServerRequestImpl&>(request);
      inner.detachSocket().shutdown();
      return;
    }
    response.setStatus(std::to_string(reply.status));
    response.setChunkedTransferEncoding(reply.chunked);
    if (!reply.era.empty()) {
      response.set("Store-Era", reply.era);
    }
    if (!reply.chunked) {
      response.setContentLength(
          static_cast<std::streamsize>(reply.body.size()));
    }
    response.send() << reply.body << std::flush;
    std::this_thread::sleep_for(reply.stay_open);
  }

  answer_function answer_;
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  Poco::Net::ServerSocket socket_;
  Poco::Net::HTTPServer server_;
};

}  // namespace marjoramslip::kv

#endif  // MARJORAMSLIP_UNITTESTS_KV_FAKE_GATEWAY_H_
