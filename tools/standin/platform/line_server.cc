// Listens for a database; its connections live in line_connection.

#include "line_server.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <Poco/Timestamp.h>

#include <utility>

#include "line_connection.h"

namespace standin {

namespace {

/// Connections that wait or run at once, of all kinds.
constexpr int kMaxThreads = 128;
constexpr std::size_t kMaxRuns = 200'000;

class connection_factory : public Poco::Net::TCPServerConnectionFactory {
 public:
  explicit connection_factory(line_server& owner) : owner_(owner) {}

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new line_connection(socket, owner_);
  }

 private:
  line_server& owner_;
};

}  // namespace

void run_journal::Add(statement_run run) {
  const std::lock_guard lock(mutex_);
  if (runs_.size() < kMaxRuns) {
    runs_.push_back(std::move(run));
  }
}

std::vector<statement_run> run_journal::All() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

line_server::line_server(line_server_options options, line_group& group,
                         std::size_t index, run_journal& journal,
                         answer_faults& faults)
    : options_(std::move(options)),
      group_(group),
      index_(index),
      journal_(journal),
      faults_(faults),
      slots_(options_.slots),
      threads_(2, kMaxThreads) {
  Listen(0);
}

line_server::~line_server() {
  ++epoch_;
  server_.reset();
  threads_.joinAll();
}

std::string line_server::Address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

bool line_server::Running() { return group_.State(index_).running; }

void line_server::Crash() {
  group_.Crash(index_);
  ++epoch_;
  server_.reset();
}

void line_server::Start(std::chrono::milliseconds silent) {
  silent_until_ = std::chrono::steady_clock::now() + silent;
  if (server_ == nullptr) {
    Listen(port_);
  }
  group_.Start(index_);
}

void line_server::Listen(std::uint16_t port) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", port), true);
  socket.listen();
  port_ = socket.address().port();
  auto* const params = new Poco::Net::TCPServerParams;
  params->setMaxThreads(kMaxThreads);
  params->setMaxQueued(kMaxThreads);
  server_ = std::make_unique<Poco::Net::TCPServer>(
      new connection_factory(*this), threads_, socket, params);
  server_->start();
  born_ms_ = Poco::Timestamp().epochMicroseconds() / 1000;
}

}  // namespace standin
