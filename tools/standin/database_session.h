// One connection to a database stand-in, as PostgreSQL's protocol has it.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_DATABASE_SESSION_H_
#define MARJORAMSLIP_TOOLS_STANDIN_DATABASE_SESSION_H_

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "counted_resource.h"
#include "database.h"
#include "link_faults.h"
#include "marjoramslip/wire/messages.h"

namespace standin {

/// What a database costs.
struct database_costs {
  std::chrono::microseconds service{500};  ///< Of each statement.
  std::chrono::milliseconds connect{10};   ///< Of each connection.
};

/// What all connections of a database share.
struct database_context {
  database& state;
  link_faults& faults;
  counted_resource& slots;
  counted_resource& connections;
  database_costs costs;
  /// Cancels the statement of another connection.
  std::function<void(std::uint32_t process, std::uint32_t secret)> cancel;
};

/// A connection, served by a thread of its own.
class database_session {
 public:
  database_session(database_context& context, std::uint32_t process,
                   std::uint32_t secret, const Poco::Net::StreamSocket& socket);

  /// Serves until the connection ends.
  void Serve();

  // For other threads.

  /// From now on nothing is answered on this connection.
  void Silence() { silent_ = true; }
  void SilenceIfNamed(const link_faults& faults);
  /// Cancels the statement in progress if the secret is right.
  void Cancel(std::uint32_t process, std::uint32_t secret);

 private:
  using message = marjoramslip::wire::frontend_message;

  std::optional<message> Receive();
  void ServeMessages();
  void ServeCaller(const marjoramslip::wire::startup& first);
  void ReadStartupOptions(const marjoramslip::wire::startup& first);
  void Welcome();
  void ServeQueries();
  void Query(const std::string& text);
  sql_answer RunOfMany(const statement& what);
  void EndImplicit();

  sql_answer Run(const statement& what);
  sql_answer RunWithSlot(const statement& what);
  /// Holds a slot for the time the statement takes and runs it. Empty if
  /// another transaction holds the store.
  std::optional<sql_answer> RunOnce(const statement& what);
  sql_answer Promote(std::uint64_t term);
  sql_answer Set(const statement& what);
  sql_answer FailTransaction(sql_answer refusal);

  void AppendAnswer(const sql_answer& answer);
  void AppendReady();
  void Refuse(const char* severity, const char* sqlstate, const char* text);
  /// Sends what has been appended; false if the connection is over.
  bool Flush();
  void StaySilent();

  database_context& context_;
  std::uint32_t process_;
  std::uint32_t secret_;
  Poco::Net::StreamSocket socket_;
  marjoramslip::wire::frontend_decoder decoder_;
  std::string out_;
  transaction own_;
  std::optional<std::uint64_t> expected_term_;
  std::string reported_state_;
  bool skip_to_sync_ = false;
  std::mutex name_mutex_;
  std::string application_name_;
  std::atomic<bool> silent_ = false;
  std::atomic<bool> cancelled_ = false;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_DATABASE_SESSION_H_
