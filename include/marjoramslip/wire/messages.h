// The frontend/backend protocol of PostgreSQL, version 3, server side.

#ifndef MARJORAMSLIP_WIRE_MESSAGES_H_
#define MARJORAMSLIP_WIRE_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "marjoramslip/base/result.h"

namespace marjoramslip::wire {

/// The first message of a connection.
struct startup {
  std::map<std::string, std::string, std::less<>> parameters;
};

/// A request for TLS, answered by one byte.
struct tls_request {};

/// A request for GSSAPI encryption, answered by one byte.
struct gss_request {};

/// A request to cancel, on a connection of its own.
struct cancel_request {
  std::uint32_t process = 0;
  std::uint32_t secret = 0;
};

/// A simple query.
struct query {
  std::string text;
};

/// The end of the session.
struct terminate {};

/// A password or SASL answer.
struct password {
  std::string text;
};

/// The end of a batch of extended-query messages.
struct sync {};

/// A message of the protocol that is not served: its type byte.
struct unsupported {
  char type = 0;
};

using frontend_message =
    std::variant<startup, tls_request, gss_request, cancel_request, query,
                 terminate, password, sync, unsupported>;

/// Splits a stream of bytes into frontend messages.
class frontend_decoder {
 public:
  /// Messages larger than `limit` bytes are refused.
  explicit frontend_decoder(std::size_t limit) : limit_(limit) {}

  /// Adds received bytes.
  void Feed(std::span<const char> bytes);

  /// The next whole message; empty if more bytes are needed. Fails with
  /// kInvalid on malformed or oversized input; the stream is then unusable.
  result<std::optional<frontend_message>> Next();

  /// Frees the bytes of the messages that were returned.
  void Release();
  /// Drops all bytes.
  void Clear();
  /// Bytes of memory that are in use.
  std::size_t HeldBytes() const { return buffer_.size(); }

  /// Bytes held that no message has consumed yet.
  std::size_t Buffered() const { return buffer_.size() - consumed_; }

 private:
  result<std::optional<frontend_message>> NextStartup();
  result<std::optional<frontend_message>> NextTyped();

  std::size_t limit_;
  std::string buffer_;
  std::size_t consumed_ = 0;
  bool started_ = false;
};

/// A column of a result.
struct column {
  std::string name;
  std::uint32_t type = 25;  ///< Type OID; 25 is text.
  std::int16_t size = -1;
  std::int32_t modifier = -1;
  std::int16_t format = 0;  ///< 0 is text.
};

/// The fields of an ErrorResponse or NoticeResponse.
struct error_fields {
  std::string severity = "ERROR";
  std::string sqlstate;
  std::string message;
  std::string detail;
  std::string hint;
};

/// A cell of a row; empty is NULL.
using cell = std::optional<std::string_view>;

/// State of the transaction as ReadyForQuery reports it.
enum class ready_status : char {
  kIdle = 'I',
  kInTransaction = 'T',
  kFailed = 'E'
};

/// Appends backend messages to `out`.
void AppendAuthenticationOk(std::string& out);
void AppendParameterStatus(std::string& out, std::string_view name,
                           std::string_view value);
void AppendBackendKeyData(std::string& out, std::uint32_t process,
                          std::uint32_t secret);
void AppendReadyForQuery(std::string& out, ready_status status);
void AppendRowDescription(std::string& out, std::span<const column> columns);
void AppendDataRow(std::string& out, std::span<const cell> cells);
void AppendCommandComplete(std::string& out, std::string_view tag);
void AppendEmptyQueryResponse(std::string& out);
void AppendErrorResponse(std::string& out, const error_fields& fields);
void AppendNoticeResponse(std::string& out, const error_fields& fields);

}  // namespace marjoramslip::wire

#endif  // MARJORAMSLIP_WIRE_MESSAGES_H_
