// One libpq connection in non-blocking mode, watched by the loop.

#ifndef MARJORAMSLIP_LIB_POSTGRES_PQ_CONNECTION_H_
#define MARJORAMSLIP_LIB_POSTGRES_PQ_CONNECTION_H_

#include <libpq-fe.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "marjoramslip/core/endpoint_state.h"
#include "marjoramslip/core/events.h"
#include "marjoramslip/runtime/borrowed_socket.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/wire/messages.h"

namespace marjoramslip::shell {

/// Where and as whom to connect.
struct pq_target {
  std::string host;
  std::uint16_t port = 0;
  std::string user;
  std::string password;
  std::string database;
  std::string application_name;
  std::string options;

  bool operator==(const pq_target&) const = default;
};

struct pq_result_deleter {
  void operator()(PGresult* value) const { PQclear(value); }
};
using pq_result = std::unique_ptr<PGresult, pq_result_deleter>;

/// The error or notice that `value` carries.
wire::error_fields ErrorFieldsOf(const PGresult* value);

/// What became of a query that was to be sent.
enum class query_start : std::uint8_t {
  kSent,
  kNotSent,  ///< No byte of it left.
  kBroken,   ///< The connection broke; some of it may have left.
};

/// Is told of a connection's progress. May close the connection, but must not
/// destroy it from within a call.
class pq_listener {
 public:
  virtual ~pq_listener() = default;
  virtual void OnConnected() = 0;
  virtual void OnConnectFailed(const std::string& reason) = 0;
  /// Input was read: results may be ready.
  virtual void OnInput() = 0;
  virtual void OnLost() = 0;
  virtual void OnNotice(const wire::error_fields& fields) = 0;
};

/// Lives on the loop's thread.
class pq_connection final : public socket_handler {
 public:
  pq_connection(event_loop& loop, pq_listener& listener)
      : loop_(loop), listener_(listener) {}
  ~pq_connection() override { Close(); }
  pq_connection(const pq_connection&) = delete;
  pq_connection& operator=(const pq_connection&) = delete;

  /// Starts to connect. False if that failed at once; see Reason().
  bool Start(const pq_target& target);

  /// Ends the connection. The listener is not called again.
  void Close();

  /// Sends a query whose rows are returned one by one.
  query_start Query(const std::string& text);

  /// True while the next result has not arrived whole.
  bool Busy() { return PQisBusy(connection_) != 0; }

  /// The next result; null after the last. Not while Busy().
  pq_result Next() { return pq_result(PQgetResult(connection_)); }

  /// Stops or resumes reading.
  void SetReading(bool reading);

  bool Broken() const { return PQstatus(connection_) == CONNECTION_BAD; }

  /// The state that the endpoint last reported; empty if it never did.
  std::optional<endpoint_state> State() const;

  transaction_status Transaction() const;

  /// `text` as an SQL literal; empty if it is not valid in the encoding.
  std::optional<std::string> Literal(const std::string& text);

  std::string Reason() const;

  /// For a canceller; the caller frees it. Null if not connected.
  PGcancel* CancelHandle() const { return PQgetCancel(connection_); }

  void OnReadable() override;
  void OnWritable() override;
  void OnSocketError() override;

 private:
  void Connect();
  void Watch(bool readable, bool writable);
  void Unwatch();
  bool Flush();

  event_loop& loop_;
  pq_listener& listener_;
  PGconn* connection_ = nullptr;
  std::optional<borrowed_socket> socket_;
  bool connecting_ = false;
  bool reading_ = true;
  bool writing_ = false;
};

/// Closes `what` now and destroys it once no callback can be inside it.
template <typename closable>
void Retire(event_loop& loop, std::unique_ptr<closable> what) {
  what->Close();
  std::shared_ptr<closable> kept = std::move(what);
  loop.After(duration{0}, [kept] {});
}

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_POSTGRES_PQ_CONNECTION_H_
