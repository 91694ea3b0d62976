// Puts an instance together, runs it and takes it down.

#include "marjoramslip/runtime/instance.h"

#include <malloc.h>

#include <cstdint>
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
#include "shutdown.h"
#include "signal_watch.h"
#include "status_server.h"

namespace marjoramslip::shell {

namespace {

/// Allocations from this size on are mapped by themselves.
constexpr int kMappedBytes = 128 << 10;

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
  options.forwarding = settings.forwarding.port != 0;
  options.min_connections_per_instance =
      settings.carriers.min_connections_per_instance;
  options.carriers_per_domain = settings.carriers.per_domain;
  options.drain_limit = settings.drain_limit - settings.drain_notice;
  return options;
}

result<std::unique_ptr<peer::peer_transport>> MakePeers(
    const instance_settings& settings, event_loop& loop) {
  return peer::MakePeerTransport(
      settings.peers.host, settings.peers.port,
      IdOf<instance_id>(settings.name),
      [&loop](instance_id from, peer_message message) {
        loop.Post(peer_received{from, std::move(message)});
      },
      {.max_message_bytes = settings.peer_message_bytes,
       .run_handler = [&loop](std::function<void()> handler) {
         loop.PostFromThread(std::move(handler));
       }});
}

}  // namespace

result<void> RunInstance(const instance_settings& settings, edge_maker& maker) {
  BlockSignals();
  if (settings.memory_limit != 0) {
    // Fixes the threshold, which otherwise rises with the buffers that are
    // freed: large buffers are returned to the system at once.
    mallopt(M_MMAP_THRESHOLD, kMappedBytes);
  }
  log_writer log(settings);
  metrics measured;
  reducer core(OptionsOf(settings));
  poll_loop loop;
  settings_watch settings_file(
      loop, log, maker.SettingsPath(),
      [&](const instance_settings& next) { log.SetLevel(next.log_level); });
  BOOST_LEAF_AUTO(peers, MakePeers(settings, loop));
  BOOST_LEAF_AUTO(edges, maker.Make(loop, peers->Address()));

  shutdown_sequence* shutdown = nullptr;
  runtime running({.loop = loop,
                   .core = core,
                   .front = edges->Front(),
                   .links = edges->Links(),
                   .platform = edges->Platform(),
                   .peers = *peers,
                   .log = log,
                   .measured = measured,
                   .forwarder = edges->Forwarder()},
                  [&shutdown] { shutdown->OnDrained(); });
  shutdown_sequence sequence(loop, log, running, *edges, settings);
  shutdown = &sequence;
  const signal_watch signals(
      loop, [&sequence](int count) { sequence.OnSignal(count); },
      [&] { settings_file.Reload("asked to reload"); });
  loop.SetConsumer(&running);
  edges->Front().SetObserver(&running);
  edges->Links().SetObserver(&running);
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
  edges->Front().CloseSessions();
  edges->Front().SetObserver(nullptr);
  edges->Links().SetObserver(nullptr);
  running.OnLoopEnded();
  sequence.AwaitLeave();
  // Each waits up to 250 ms for its thread.
  readiness.reset();
  server.reset();
  if (sequence.Forced()) {
    log.Write(log_level::kWarning, "instance.ended", "by a second signal");
    return Fail(error_kind::kUnknown, "ended by a second signal");
  }
  log.Write(log_level::kInfo, "instance.ended", "all work is done");
  return {};
}

}  // namespace marjoramslip::shell
