// Keeps the links and monitors and passes effects on to them.

#include "marjoramslip/postgres/postgres_links.h"

#include <map>
#include <unordered_map>
#include <utility>

#include "endpoint_monitor.h"
#include "query_canceller.h"
#include "statement_link.h"

namespace marjoramslip::shell {

namespace {

/// Where an endpoint is, without the term.
struct endpoint_address {
  std::string host;
  std::uint16_t port = 0;
  std::string service;
};

class links_impl final : public postgres_links, public link_owner {
 public:
  links_impl(const instance_settings& settings, event_loop& loop,
             answer_sink& sink, statement_source& source)
      : settings_(settings), context_{loop, sink, source, *this} {}

  void SetCatalogue(const catalogue& value) override;
  void Open(const open_connection& what) override;
  void Close(const close_connection& what) override;
  void Send(const send_statement& what) override;
  void Cancel(const cancel_statement& what) override;
  void Probe(const probe_endpoint& what) override;
  void Move(const move_endpoint& what) override;
  void Promote(const promote_endpoint& what) override;
  void OnCallerReady(request_id request) override;
  void OnLinkEnded(connection_id connection) override;

 private:
  pq_target TargetOf(endpoint_id endpoint) const;
  endpoint_monitor& MonitorOf(endpoint_id endpoint);
  void Resume(request_id request);

  instance_settings settings_;
  link_context context_;
  query_canceller canceller_;
  std::unordered_map<endpoint_id, endpoint_address> addresses_;
  std::unordered_map<connection_id, std::unique_ptr<statement_link>> links_;
  std::unordered_map<endpoint_id, std::unique_ptr<endpoint_monitor>> monitors_;
};

void links_impl::SetCatalogue(const catalogue& value) {
  addresses_.clear();
  for (const auto& [name, service] : value.services) {
    for (const group_spec& group : service.groups) {
      for (const endpoint_spec& endpoint : group.endpoints) {
        addresses_[endpoint.Id()] = {endpoint.host, endpoint.port, name};
      }
    }
  }
  for (const auto& [endpoint, monitor] : monitors_) {
    monitor->SetTarget(TargetOf(endpoint));
  }
}

/// Has no host if the endpoint is not known.
pq_target links_impl::TargetOf(endpoint_id endpoint) const {
  const auto found = addresses_.find(endpoint);
  if (found == addresses_.end()) {
    return {};
  }
  pq_target target;
  target.host = found->second.host;
  target.port = found->second.port;
  target.user = settings_.endpoint_user;
  target.password = settings_.endpoint_password;
  target.database = found->second.service;
  target.application_name = settings_.name;
  return target;
}

endpoint_monitor& links_impl::MonitorOf(endpoint_id endpoint) {
  std::unique_ptr<endpoint_monitor>& monitor = monitors_[endpoint];
  if (monitor == nullptr) {
    monitor = std::make_unique<endpoint_monitor>(context_.loop, endpoint);
    monitor->SetTarget(TargetOf(endpoint));
  }
  return *monitor;
}

void links_impl::Open(const open_connection& what) {
  pq_target target = TargetOf(what.endpoint);
  if (target.host.empty()) {
    context_.loop.Post(
        connection_refused{what.connection, false, "unknown endpoint"});
    return;
  }
  target.options = "-c group.expected_term=" + std::to_string(what.term);
  auto link = std::make_unique<statement_link>(context_, what.connection);
  statement_link& opened = *link;
  links_[what.connection] = std::move(link);
  context_.loop.After(what.timeout, [this, id = what.connection] {
    const auto found = links_.find(id);
    if (found != links_.end()) {
      found->second->TimeOut();
    }
  });
  opened.Open(target);
}

void links_impl::Close(const close_connection& what) {
  OnLinkEnded(what.connection);
}

void links_impl::OnLinkEnded(connection_id connection) {
  const auto found = links_.find(connection);
  if (found == links_.end()) {
    return;
  }
  Retire(context_.loop, std::move(found->second));
  links_.erase(found);
}

void links_impl::Send(const send_statement& what) {
  const auto found = links_.find(what.connection);
  if (found == links_.end()) {
    // It was lost meanwhile; the core has been or will be told.
    return;
  }
  found->second->Send(what);
}

void links_impl::Cancel(const cancel_statement& what) {
  const auto found = links_.find(what.connection);
  const bool runs =
      found != links_.end() && found->second->Request() != request_id{};
  if (runs) {
    canceller_.Cancel(found->second->TakeCancelHandle());
  }
}

void links_impl::Probe(const probe_endpoint& what) {
  MonitorOf(what.endpoint)
      .Run({monitor_task::kProbe, 0, what.timeout, what.new_connection});
}

void links_impl::Move(const move_endpoint& what) {
  const duration timeout = settings_.connect_timeout + settings_.probe_timeout;
  MonitorOf(what.endpoint)
      .Run({monitor_task::kMove, what.term, timeout, false});
}

void links_impl::Promote(const promote_endpoint& what) {
  MonitorOf(what.endpoint)
      .Run({monitor_task::kPromote, what.term, settings_.statement_timeout,
            false});
}

void links_impl::OnCallerReady(request_id request) {
  // Not at once: the caller's side may be in the middle of something.
  context_.loop.After(duration{0}, [this, request] { Resume(request); });
}

void links_impl::Resume(request_id request) {
  for (const auto& [connection, link] : links_) {
    if (link->Request() == request) {
      link->Resume();
      return;
    }
  }
}

}  // namespace

std::unique_ptr<postgres_links> MakePostgresLinks(
    const instance_settings& settings, event_loop& loop, answer_sink& sink,
    statement_source& source) {
  return std::make_unique<links_impl>(settings, loop, sink, source);
}

}  // namespace marjoramslip::shell
