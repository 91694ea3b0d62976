// Owns the links and monitors and dispatches commands of the core to them.

#include "marjoramslip/lines/line_links.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

#include "line_link.h"
#include "line_monitor.h"
#include "marjoramslip/lines/startup_limits.h"

namespace marjoramslip::lines {
namespace {

class links final : public shell::endpoint_links,
                    private link_owner,
                    private shell::answer_observer {
 public:
  links(const instance_settings& settings, shell::event_loop& loop,
        const line_codec& codec, statement_exchange& exchange,
        endpoint_promoter& promoter)
      : instance_(settings.name),
        context_{loop, codec, exchange, *this, *this},
        promoter_(promoter),
        self_(std::make_shared<links*>(this)) {}

  void SetCatalogue(const catalogue& value) override;
  void Open(const open_connection& command) override;
  void Close(const close_connection& command) override;
  void Send(const send_statement& command) override;
  void Cancel(const cancel_statement& /*command*/) override {
    // The protocol has no cancel request.
  }
  void Probe(const probe_endpoint& command) override {
    MonitorOf(command.endpoint).Probe(command);
  }
  void Move(const move_endpoint& command) override {
    MonitorOf(command.endpoint).Move(command);
  }
  void Promote(const promote_endpoint& command) override;
  void SetObserver(shell::answer_observer* observer) override {
    observer_ = observer;
  }

 private:
  void OnLinkEnded(connection_id connection) override;
  void OnMismatchedAnswer(const shell::mismatched_answer& answer) override {
    if (observer_ != nullptr) {
      observer_->OnMismatchedAnswer(answer);
    }
  }

  /// `extension` is the further time for an accepted connection; zero if there
  /// is none left.
  void TimeOut(connection_id connection, duration extension);
  endpoint_target TargetOf(endpoint_id endpoint) const;
  line_monitor& MonitorOf(endpoint_id endpoint);
  void RunAfter(duration delay, std::function<void(links&)> task);

  std::string instance_;
  link_context context_;
  endpoint_promoter& promoter_;
  shell::answer_observer* observer_ = nullptr;
  std::unordered_map<endpoint_id, endpoint_target> targets_;
  std::unordered_map<connection_id, std::unique_ptr<line_link>> links_;
  std::map<endpoint_id, std::unique_ptr<line_monitor>> monitors_;
  /// Ended links that may still be on the call stack; destroyed in a later turn
  /// of the event loop.
  std::vector<std::unique_ptr<line_link>> ended_links_;
  std::shared_ptr<links*> self_;
};

void links::SetCatalogue(const catalogue& value) {
  targets_.clear();
  for (const auto& [name, service] : value.services) {
    for (const group_spec& group : service.groups) {
      for (const endpoint_spec& endpoint : group.endpoints) {
        targets_[endpoint.Id()] = {
            endpoint.host, endpoint.port, name,
            endpoint.identity.empty() ? endpoint.name : endpoint.identity};
      }
    }
  }
  std::erase_if(monitors_, [this](const auto& entry) {
    return !targets_.contains(entry.first);
  });
  for (const auto& [endpoint, monitor] : monitors_) {
    monitor->SetTarget(TargetOf(endpoint));
  }
}

endpoint_target links::TargetOf(endpoint_id endpoint) const {
  const auto found = targets_.find(endpoint);
  return found == targets_.end() ? endpoint_target{} : found->second;
}

line_monitor& links::MonitorOf(endpoint_id endpoint) {
  std::unique_ptr<line_monitor>& slot = monitors_[endpoint];
  if (slot == nullptr) {
    shell::answer_observer& observer = *this;
    slot = std::make_unique<line_monitor>(context_.loop, context_.codec,
                                          observer, endpoint, instance_);
    slot->SetTarget(TargetOf(endpoint));
  }
  return *slot;
}

void links::RunAfter(duration delay, std::function<void(links&)> task) {
  const std::weak_ptr<links*> weak = self_;
  context_.loop.After(delay, [weak, task = std::move(task)] {
    if (const auto self = weak.lock()) {
      task(**self);
    }
  });
}

void links::Open(const open_connection& command) {
  const connection_id id = command.connection;
  line_link& link = *links_
                         .emplace(id, std::make_unique<line_link>(
                                          context_, id, command.endpoint))
                         .first->second;
  RunAfter(command.timeout, [id, extension = StartupExtension(command.timeout)](
                                links& self) { self.TimeOut(id, extension); });
  link.Open(TargetOf(command.endpoint),
            command.account.empty() ? instance_ : command.account);
}

void links::TimeOut(connection_id connection, duration extension) {
  const auto found = links_.find(connection);
  const bool final = extension == duration::zero();
  if (found != links_.end() && found->second->TimeOut(final)) {
    RunAfter(extension, [connection](links& self) {
      self.TimeOut(connection, duration::zero());
    });
  }
}

void links::Close(const close_connection& command) {
  const auto found = links_.find(command.connection);
  if (found != links_.end()) {
    found->second->Close();
    OnLinkEnded(command.connection);
  }
}

void links::Send(const send_statement& command) {
  const auto found = links_.find(command.connection);
  if (found == links_.end()) {
    context_.loop.Post(connection_lost{command.connection, false, false});
    return;
  }
  found->second->Send(command);
}

void links::Promote(const promote_endpoint& command) {
  const endpoint_target target = TargetOf(command.endpoint);
  promoter_.Promote(target.service, target.endpoint, command);
}

void links::OnLinkEnded(connection_id connection) {
  auto node = links_.extract(connection);
  if (node.empty()) {
    return;
  }
  if (ended_links_.empty()) {
    RunAfter(duration{0}, [](links& self) { self.ended_links_.clear(); });
  }
  ended_links_.push_back(std::move(node.mapped()));
}

}  // namespace

std::unique_ptr<shell::endpoint_links> MakeLineLinks(
    const instance_settings& settings, shell::event_loop& loop,
    const line_codec& codec, statement_exchange& exchange,
    endpoint_promoter& promoter) {
  return std::make_unique<links>(settings, loop, codec, exchange, promoter);
}

}  // namespace marjoramslip::lines
