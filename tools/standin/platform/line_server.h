// A database of the platform on a port of its own.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_LINE_SERVER_H_
#define MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_LINE_SERVER_H_

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "../counted_resource.h"
#include "answer_faults.h"
#include "line_group.h"

namespace standin {

/// A statement as a database ran it, for those who judge.
struct statement_run {
  std::string id;
  std::string text;
  std::string database;
  std::string owner;        ///< The connection's values, "name=value ...".
  std::string client = {};  ///< In whose name the connection was opened.
};

/// What ran, in the order in which it ended; safe for use by several threads.
class run_journal {
 public:
  void Add(statement_run run);
  std::vector<statement_run> All() const;

 private:
  mutable std::mutex mutex_;
  std::vector<statement_run> runs_;
};

/// Sizes and times of a database.
struct line_server_options {
  std::string service;
  std::string id;
  std::string zone;
  int slots = 3;
  int connections = 23;
  std::chrono::microseconds work{2000};   ///< Of a statement.
  std::chrono::milliseconds connect{12};  ///< Of a new connection.
};

/// Listens until it is crashed or destroyed.
class line_server {
 public:
  line_server(line_server_options options, line_group& group, std::size_t index,
              run_journal& journal, answer_faults& faults);
  ~line_server();
  line_server(const line_server&) = delete;
  line_server& operator=(const line_server&) = delete;

  const line_server_options& Options() const { return options_; }
  std::string Address() const;
  line_state State() { return group_.State(index_); }

  /// Drops all connections and stops listening.
  void Crash();
  /// Listens again at the same port, with the log it had. It registers itself
  /// when it has been `silent` for so long.
  void Start(std::chrono::milliseconds silent);
  /// While dark it answers nothing and keeps its connections.
  void SetDark(bool dark) { dark_ = dark; }
  void SetDraining(bool draining) { draining_ = draining; }
  bool Draining() const { return draining_; }
  bool Running();
  /// The Unix millisecond of its last start.
  std::int64_t Born() const { return born_ms_; }

  steady_time SilentUntil() const { return silent_until_; }

  // For its connections.

  line_group& Group() { return group_; }
  std::size_t Index() const { return index_; }
  run_journal& Journal() { return journal_; }
  answer_faults& Faults() { return faults_; }
  counted_resource& Slots() { return slots_; }
  std::atomic<int>& Open() { return open_; }
  std::atomic<int>& Busy() { return busy_; }
  bool Dark() const { return dark_; }
  /// Rises with each crash: connections of before are over.
  std::uint64_t Epoch() const { return epoch_; }

 private:
  void Listen(std::uint16_t port);

  line_server_options options_;
  line_group& group_;
  std::size_t index_;
  run_journal& journal_;
  answer_faults& faults_;
  counted_resource slots_;
  std::atomic<int> open_ = 0;
  std::atomic<int> busy_ = 0;
  std::atomic<bool> dark_ = false;
  std::atomic<bool> draining_ = false;
  std::atomic<std::uint64_t> epoch_ = 1;
  std::atomic<std::int64_t> born_ms_ = 0;
  std::atomic<steady_time> silent_until_{};
  std::uint16_t port_ = 0;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::TCPServer> server_;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_LINE_SERVER_H_
