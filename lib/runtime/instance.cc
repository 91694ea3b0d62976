// Puts an instance together, runs it and takes it down.

#include "marjoramslip/runtime/instance.h"

#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "log_writer.h"
#include "marjoramslip/core/reducer.h"
#include "marjoramslip/peer/peer_transport.h"
#include "marjoramslip/runtime/poll_loop.h"
#include "metrics.h"
#include "runtime.h"
#include "settings_watch.h"
#include "signal_watch.h"
#include "status_server.h"

namespace marjoramslip::shell {

namespace {

/// Time for the last answers to leave after all work is done.
constexpr duration kFlushTime = std::chrono::milliseconds(200);

std::uint64_t RandomSeed() {
  std::random_device source;
  std::uniform_int_distribution<std::uint64_t> any;
  return any(source);
}

core_options OptionsOf(const instance_settings& settings) {
  core_options options;
  options.instance_name = settings.name;
  options.failure_domain = settings.failure_domain;
  options.process_seed = RandomSeed();
  options.permit = settings.permit;
  options.permit_wait = settings.permit_wait;
  options.probe_interval = settings.probe_interval;
  options.probe_timeout = settings.probe_timeout;
  options.connect_timeout = settings.connect_timeout;
  options.statement_timeout = settings.statement_timeout;
  options.suspicion_quorum = settings.suspicion_quorum;
  options.queue_limit = settings.queue_limit;
  options.drain_limit = settings.drain_limit - settings.drain_notice;
  return options;
}

result<std::unique_ptr<peer::peer_transport>> MakePeers(
    const instance_settings& settings, event_loop& loop) {
  return peer::MakePeerTransport(
      settings.peers.host, settings.peers.port,
      IdOf<instance_id>(settings.name),
      [&loop](instance_id from, peer_message message) {
        loop.PostFromThread([&loop, from, message = std::move(message)] {
          loop.Post(peer_received{from, message});
        });
      });
}

/// Drains on the first signal, after notice to balancers, and gives up on the
/// second.
void OnSignal(poll_loop& loop, runtime& running, log_writer& log,
              duration notice, int count) {
  if (count > 1) {
    _exit(EXIT_FAILURE);
  }
  log.Write(log_level::kInfo, "instance.draining", "asked to end");
  running.SetLeaving();
  if (notice == duration::zero()) {
    loop.Post(drain_requested{});
    return;
  }
  loop.After(notice, [&loop] { loop.Post(drain_requested{}); });
}

std::string Describe(const session_counts& sessions) {
  return "starting " + std::to_string(sessions.starting) + ", open " +
         std::to_string(sessions.open) + ", closing " +
         std::to_string(sessions.closing) + "; " +
         std::to_string(sessions.in_progress) + " with a statement, " +
         std::to_string(sessions.unsent_bytes) + " bytes unsent";
}

}  // namespace

result<void> RunInstance(const instance_settings& settings, edge_maker& maker) {
  BlockSignals();
  log_writer log(settings);
  metrics measured;
  reducer core(OptionsOf(settings));
  poll_loop loop;
  settings_watch settings_file(
      loop, log, maker.SettingsPath(),
      [&](const instance_settings& next) { log.SetLevel(next.log_level); });
  BOOST_LEAF_AUTO(peers, MakePeers(settings, loop));
  BOOST_LEAF_AUTO(edges, maker.Make(loop, peers->Address()));

  runtime running({.loop = loop,
                   .core = core,
                   .front = edges->Front(),
                   .links = edges->Links(),
                   .platform = edges->Platform(),
                   .peers = *peers,
                   .log = log,
                   .measured = measured},
                  [&] {
                    log.Write(log_level::kInfo, "drain.completed",
                              Describe(edges->Front().Sessions()));
                    edges->Front().StopListening();
                    loop.After(kFlushTime, [&] { loop.Stop(); });
                  });
  const signal_watch signals(
      loop,
      [&](int count) {
        OnSignal(loop, running, log, settings.drain_notice, count);
      },
      [&] { settings_file.Reload("asked to reload"); });
  loop.SetConsumer(&running);
  edges->Front().SetObserver(&running);
  BOOST_LEAF_AUTO(
      server, MakeStatusServer(settings.metrics, maker.ReadyPath(), running));
  std::unique_ptr<status_server> readiness;
  if (settings.readiness.port != 0) {
    BOOST_LEAF_ASSIGN(readiness, MakeStatusServer(settings.readiness,
                                                  maker.ReadyPath(), running));
  }
  log.Write(log_level::kInfo, "instance.serving",
            "metrics on port " + std::to_string(server->Port()) +
                ", peers on " + peers->Address());
  loop.Run();
  log.Write(log_level::kInfo, "sessions.ended",
            Describe(edges->Front().Sessions()));
  readiness.reset();
  server.reset();
  edges->Platform().Leave();
  edges->Front().CloseSessions();
  edges->Front().SetObserver(nullptr);
  log.Write(log_level::kInfo, "instance.ended", "all work is done");
  return {};
}

}  // namespace marjoramslip::shell
