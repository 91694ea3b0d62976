// An HTTP client with several addresses, pooled_session connections and
// deadlines. Its errors tell whether a request may have been sent.

#ifndef MARJORAMSLIP_KV_HTTP_CHANNEL_H_
#define MARJORAMSLIP_KV_HTTP_CHANNEL_H_

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/NameValueCollection.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "marjoramslip/base/result.h"
#include "marjoramslip/base/time.h"

namespace marjoramslip::kv {

/// A host and a port.
struct http_address {
  std::string host;
  std::uint16_t port = 0;
};

/// A request to send.
struct http_request {
  std::string method = "POST";
  std::string path;       ///< Includes the query, if any.
  std::string body = {};  ///< JSON; may be empty.
  std::vector<std::pair<std::string, std::string>> headers = {};
  /// By BootTime. A request that could not be sent until then is not sent.
  instant send_until = instant::max();
};

/// A connection that separates connecting from sending, so that callers can
/// tell which of them failed. Throws POCO's exceptions.
class http_session : public Poco::Net::HTTPClientSession {
 public:
  explicit http_session(const http_address& address);
  ~http_session() override;
  http_session(const http_session&) = delete;
  http_session& operator=(const http_session&) = delete;

  /// Connects unless already connected; throws on failure.
  void Connect(duration timeout);
  /// Returns true if the connection is closed or has unsolicited data.
  bool IsStale();
  /// Sends a complete request.
  void Send(const http_request& request);
  /// Sets the timeout of each single connect, send and receive operation.
  void SetIoTimeout(duration timeout);

 protected:
  /// Fails if the connection is lost. POCO would connect again and resend, over
  /// a socket that whoever shut down the lost one does not know.
  int write(const char* buffer, std::streamsize length) override;
};

/// Whether a request may change state on the server.
enum class request_effect : std::uint8_t { kReads, kWrites };

/// An answer.
struct http_reply {
  int status = 0;
  std::string body;
  Poco::Net::NameValueCollection headers = {};
};

/// Sends requests to the preferred address and switches to the next one on
/// failure. Safe for use by several threads.
class http_channel {
 public:
  http_channel(std::vector<http_address> addresses, duration deadline);

  /// Sends `request`. Fails with kUnavailable if nothing was sent or `effect`
  /// is kReads, otherwise with kUnknown.
  result<http_reply> Call(const http_request& request, request_effect effect);
  /// Same as above, with a deadline for this call.
  result<http_reply> Call(const http_request& request, request_effect effect,
                          duration deadline);
  /// Sends `body` in a POST request.
  result<http_reply> Post(const std::string& path, const std::string& body,
                          request_effect effect) {
    return Call({.path = path, .body = body}, effect);
  }
  /// Aborts the calls in progress; they fail like calls whose connection broke,
  /// and are not tried again.
  void Interrupt();

 private:
  using clock = std::chrono::steady_clock;

  struct pooled_session {
    std::unique_ptr<http_session> connection;
    std::size_t address = 0;
    clock::time_point last_used;
  };

  class active_session_guard;

  /// Returns an idle connection to the preferred address, or a new one.
  pooled_session AcquireSession();
  void ReleaseSession(pooled_session session);
  /// Prefers the next address if `failed` is still the preferred one.
  void SwitchAddress(std::size_t failed);
  static http_reply Exchange(http_session& session, const http_request& request,
                             clock::time_point end);

  std::vector<http_address> addresses_;
  duration deadline_;
  std::atomic<std::size_t> preferred_ = 0;
  std::atomic<std::uint64_t> interrupts_ = 0;
  std::mutex mutex_;
  std::vector<pooled_session> idle_sessions_;
  std::set<http_session*> active_sessions_;
};

}  // namespace marjoramslip::kv

#endif  // MARJORAMSLIP_KV_HTTP_CHANNEL_H_
