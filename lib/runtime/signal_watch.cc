// Reads signals from a signalfd.

#include "signal_watch.h"

#include <pthread.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <cassert>
#include <utility>

namespace marjoramslip::shell {

namespace {

sigset_t WatchedSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

void BlockSignals() {
  const sigset_t signals = WatchedSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

signal_watch::signal_watch(event_loop& loop, std::function<void(int)> on_end,
                           std::function<void()> on_reload)
    : loop_(loop),
      on_end_(std::move(on_end)),
      on_reload_(std::move(on_reload)) {
  const sigset_t signals = WatchedSignals();
  descriptor_ = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
  assert(descriptor_ >= 0 && "no descriptor for signals");
  socket_.emplace(descriptor_);
  loop_.Add(*socket_, this, true, false);
}

signal_watch::~signal_watch() {
  loop_.Remove(*socket_);
  socket_.reset();
  close(descriptor_);
}

void signal_watch::OnReadable() {
  signalfd_siginfo info{};
  while (read(descriptor_, &info, sizeof(info)) == sizeof(info)) {
    if (info.ssi_signo == SIGHUP) {
      on_reload_();
      continue;
    }
    ++count_;
    on_end_(count_);
  }
}

}  // namespace marjoramslip::shell
