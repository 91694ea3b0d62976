// One thread owns the connections to and from other instances; other threads
// queue commands for it.

#include "marjoramslip/peer/peer_transport.h"

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <variant>

#include "incoming_links.h"
#include "link_table.h"
#include "marjoramslip/peer/peer_codec.h"
#include "marjoramslip/runtime/caller_acceptor.h"
#include "marjoramslip/runtime/poll_loop.h"
#include "peer_stream.h"

namespace marjoramslip::peer {
namespace {

constexpr std::size_t kMaxQueuedCommands = 10000;

/// Replaces the member list.
struct members_command {
  std::vector<member> members;
};

/// Sends to one instance, or broadcasts if `to` is 0.
struct send_command {
  instance_id to;
  peer_message message;
};

using command = std::variant<members_command, send_command>;
using message_handler = std::function<void(instance_id, peer_message)>;

class transport : public peer_transport {
 public:
  transport(const Poco::Net::ServerSocket& socket, instance_id self,
            message_handler on_message, const mesh_options& options)
      : self_(self),
        on_message_(
            std::make_shared<const message_handler>(std::move(on_message))),
        run_handler_(options.run_handler),
        address_(std::string(kPeerScheme) + socket.address().toString()),
        links_(loop_, self, options.full_mesh_limit),
        incoming_(loop_, socket, options.max_message_bytes,
                  [this](std::span<const char> bytes,
                         std::function<void()> on_handled) {
                    Deliver(bytes, std::move(on_handled));
                  }),
        thread_([this] { loop_.Run(); }) {}
  ~transport() override;
  transport(const transport&) = delete;
  transport& operator=(const transport&) = delete;

  void SetMembers(const std::vector<member>& members) override;
  void Send(instance_id to, const peer_message& message) override;
  std::string Address() const override { return address_; }

 private:
  void Enqueue(command request);
  void ProcessCommands();
  void Execute(const members_command& request);
  void Execute(const send_command& request);
  /// Drops a message that is malformed or of a kind that this release does not
  /// know.
  void Deliver(std::span<const char> bytes, std::function<void()> on_handled);
  void Handle(envelope received, std::function<void()> on_handled);

  instance_id self_;
  /// Shared with handlers that have not run yet when the transport ends.
  std::shared_ptr<const message_handler> on_message_;
  handler_runner run_handler_;
  std::string address_;

  std::mutex mutex_;
  std::deque<command> commands_;  // Guarded by mutex_.

  // Used only by the thread once it runs.
  shell::poll_loop loop_;
  link_table links_;
  incoming_links incoming_;

  std::thread thread_;
};

transport::~transport() {
  loop_.PostFromThread([this] { loop_.Stop(); });
  thread_.join();
}

void transport::SetMembers(const std::vector<member>& members) {
  Enqueue(members_command{members});
}

void transport::Send(instance_id to, const peer_message& message) {
  Enqueue(send_command{to, message});
}

void transport::Enqueue(command request) {
  const std::lock_guard lock(mutex_);
  const bool is_message = std::holds_alternative<send_command>(request);
  if (is_message && commands_.size() >= kMaxQueuedCommands) {
    return;  // The thread does not keep up; the message is dropped.
  }
  commands_.push_back(std::move(request));
  if (commands_.size() == 1) {
    loop_.PostFromThread([this] { ProcessCommands(); });
  }
}

void transport::ProcessCommands() {
  std::deque<command> commands;
  {
    const std::lock_guard lock(mutex_);
    commands.swap(commands_);
  }
  for (const command& next : commands) {
    std::visit([this](const auto& request) { Execute(request); }, next);
  }
}

void transport::Execute(const members_command& request) {
  links_.SetMembers(request.members);
}

void transport::Execute(const send_command& request) {
  const envelope message{self_, request.message, false, address_};
  if (request.to.value == 0) {
    links_.SendToAll(message);
  } else {
    links_.SendTo(request.to, message);
  }
}

void transport::Deliver(std::span<const char> bytes,
                        std::function<void()> on_handled) {
  leaf::try_handle_all(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(received, Decode(bytes));
        Handle(std::move(received), on_handled);
        return {};
      },
      [&] { on_handled(); });
}

void transport::Handle(envelope received, std::function<void()> on_handled) {
  // An instance that starts while the member list cannot be read learns of the
  // other instances from the messages that it receives.
  links_.ConnectToSender(received.from, received.reply_to);
  if (received.relay) {
    received.relay = false;
    links_.RelayToDomain(received);
  }
  auto handler = [on_message = on_message_, received = std::move(received),
                  on_handled = std::move(on_handled)]() mutable {
    (*on_message)(received.from, std::move(received.message));
    on_handled();
  };
  if (run_handler_) {
    run_handler_(std::move(handler));
  } else {
    handler();
  }
}

}  // namespace

result<std::unique_ptr<peer_transport>> MakePeerTransport(
    const std::string& host, std::uint16_t port, instance_id self,
    std::function<void(instance_id, peer_message)> on_message,
    const mesh_options& options) {
  BOOST_LEAF_AUTO(socket,
                  shell::ListenForCallers({.host = host, .port = port}));
  return std::unique_ptr<peer_transport>(std::make_unique<transport>(
      socket, self, std::move(on_message), options));
}

}  // namespace marjoramslip::peer
