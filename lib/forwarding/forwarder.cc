// Puts both sides of forwarding together and presents one front to the core.

#include "marjoramslip/forwarding/forwarder.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "carried_callers.h"
#include "carrier_link.h"
#include "marjoramslip/runtime/caller_acceptor.h"

namespace marjoramslip::forwarding {
namespace {

/// Directs commands and answers to the instance's own callers or to those of
/// other instances, by their ids.
class joint_front final : public lines::line_front {
 public:
  joint_front(lines::line_front& own, carried_callers& carried)
      : own_(own), carried_(carried) {}

  // caller_front.
  void Release(const release_answer& command) override {
    IsCarried(command.request) ? carried_.Release(command)
                               : own_.Release(command);
  }
  void Fail(const fail_request& command) override {
    IsCarried(command.request) ? carried_.Fail(command) : own_.Fail(command);
  }
  void Close(const close_caller& command) override {
    IsCarried(command.caller) ? carried_.Close(command) : own_.Close(command);
  }
  void SetKey(const caller_key_changed& command) override {
    own_.SetKey(command);
  }
  void EndWithSessions(std::function<void()> on_ended) override {
    // Called back by the own sessions and by the origins.
    const auto ended = [left = std::make_shared<int>(2),
                        on_ended = std::move(on_ended)] {
      if (--*left == 0) {
        on_ended();
      }
    };
    own_.EndWithSessions(ended);
    carried_.EndWithOrigins(ended);
  }
  void DismissSessions(const failure& reason) override {
    own_.DismissSessions(reason);
  }
  void SetObserver(shell::session_observer* observer) override {
    own_.SetObserver(observer);
  }
  void SetIdleTransactionLimit(duration limit) override {
    own_.SetIdleTransactionLimit(limit);
  }
  shell::session_counts Sessions() const override { return own_.Sessions(); }
  std::size_t MemoryBytes() const override { return own_.MemoryBytes(); }
  void CloseSessions() override { own_.CloseSessions(); }
  std::string_view NameOf(request_id request) const override {
    return IsCarried(request) ? carried_.NameOf(request) : own_.NameOf(request);
  }
  std::string_view TenantOf(caller_id caller) const override {
    return IsCarried(caller) ? std::string_view() : own_.TenantOf(caller);
  }
  std::string_view ServiceOf(caller_id caller) const override {
    return IsCarried(caller) ? carried_.RouteOf(caller)
                             : own_.ServiceOf(caller);
  }

  // statement_exchange.
  bool FindStatement(request_id request,
                     lines::outgoing_statement& statement) override {
    return IsCarried(request) ? carried_.FindStatement(request, statement)
                              : own_.FindStatement(request, statement);
  }
  void OnAttempt(request_id request) override {
    IsCarried(request) ? carried_.OnAttempt(request) : own_.OnAttempt(request);
  }
  void OnRow(request_id request, std::string_view line) override {
    IsCarried(request) ? carried_.OnRow(request, line)
                       : own_.OnRow(request, line);
  }
  void DiscardRows(request_id request) override {
    IsCarried(request) ? carried_.DiscardRows(request)
                       : own_.DiscardRows(request);
  }
  void OnDone(request_id request, std::string_view signature,
              transaction_status status) override {
    IsCarried(request) ? carried_.OnDone(request, signature, status)
                       : own_.OnDone(request, signature, status);
  }
  void OnError(request_id request, std::string_view line,
               transaction_status status) override {
    IsCarried(request) ? carried_.OnError(request, line, status)
                       : own_.OnError(request, line, status);
  }

 private:
  lines::line_front& own_;
  carried_callers& carried_;
};

class stream_forwarder final : public forwarder {
 public:
  stream_forwarder(const instance_settings& settings, shell::event_loop& loop,
                   lines::line_front& front,
                   const Poco::Net::ServerSocket& socket)
      : loop_(loop),
        carried_(loop, IdOf<instance_id>(settings.name),
                 settings.max_message_bytes, socket),
        front_(front, carried_),
        context_{loop, front, IdOf<instance_id>(settings.name),
                 settings.connect_timeout,
                 [this](instance_id carrier) { OnLinkEnded(carrier); }},
        self_(std::make_shared<stream_forwarder*>(this)) {}
  stream_forwarder(const stream_forwarder&) = delete;
  stream_forwarder& operator=(const stream_forwarder&) = delete;

  lines::line_front& Front() override { return front_; }

  void Forward(const forward_statement& command) override {
    carrier_link* const link = LinkTo(command);
    if (link == nullptr) {
      loop_.Post(forward_failed{command.request, command.attempt,
                                command.carrier, false});
      return;
    }
    link->Forward(command);
  }

  void EndCaller(const end_forwarded_caller& command) override {
    const auto found = links_.find(command.carrier);
    if (found != links_.end()) {
      found->second->EndCaller(command.caller);
    }
  }

  void SetMembers(std::span<const member> members) override {
    addresses_.clear();
    for (const member& entry : members) {
      if (!entry.forwarding_address.empty()) {
        addresses_.emplace(entry.id, entry.forwarding_address);
      }
    }
  }

 private:
  /// Returns the link to the carrier; null if there is none to be had. A
  /// statement of a transaction does not open one: the transaction ended with
  /// the link on which it began.
  carrier_link* LinkTo(const forward_statement& command) {
    const auto found = links_.find(command.carrier);
    if (found != links_.end()) {
      return found->second.get();
    }
    const auto address = addresses_.find(command.carrier);
    if (command.in_transaction || address == addresses_.end()) {
      return nullptr;
    }
    auto link = std::make_unique<carrier_link>(context_, command.carrier);
    if (!link->Connect(address->second)) {
      return nullptr;
    }
    return links_.emplace(command.carrier, std::move(link)).first->second.get();
  }

  void OnLinkEnded(instance_id carrier) {
    auto node = links_.extract(carrier);
    if (node.empty()) {
      return;
    }
    if (ended_links_.empty()) {
      const std::weak_ptr<stream_forwarder*> weak = self_;
      loop_.After(duration{0}, [weak] {
        if (const auto self = weak.lock()) {
          (*self)->ended_links_.clear();
        }
      });
    }
    ended_links_.push_back(std::move(node.mapped()));
  }

  shell::event_loop& loop_;
  carried_callers carried_;
  joint_front front_;
  carrier_link_context context_;
  std::map<instance_id, std::string> addresses_;
  std::map<instance_id, std::unique_ptr<carrier_link>> links_;
  /// Ended links that may still be on the call stack; destroyed in a later turn
  /// of the event loop.
  std::vector<std::unique_ptr<carrier_link>> ended_links_;
  std::shared_ptr<stream_forwarder*> self_;
};

}  // namespace

result<std::unique_ptr<forwarder>> MakeForwarder(
    const instance_settings& settings, shell::event_loop& loop,
    lines::line_front& front) {
  BOOST_LEAF_AUTO(socket, shell::ListenForCallers(settings.forwarding));
  return std::unique_ptr<forwarder>(
      std::make_unique<stream_forwarder>(settings, loop, front, socket));
}

}  // namespace marjoramslip::forwarding
