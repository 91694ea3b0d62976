// A connection to an endpoint: connect, startup and splitting into lines.

#ifndef MARJORAMSLIP_LIB_LINES_ENDPOINT_SOCKET_H_
#define MARJORAMSLIP_LIB_LINES_ENDPOINT_SOCKET_H_

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "line_splitter.h"
#include "marjoramslip/lines/line_codec.h"
#include "marjoramslip/runtime/event_loop.h"
#include "marjoramslip/runtime/stream_connection.h"

namespace marjoramslip::lines {

/// The address of an endpoint and the identity expected there.
struct endpoint_target {
  std::string host;
  std::uint16_t port = 0;
  std::string service;
  std::string endpoint;

  bool operator==(const endpoint_target&) const = default;
};

/// Receives the events of a connection.
class endpoint_listener {
 public:
  virtual ~endpoint_listener() = default;
  /// The startup is complete; the endpoint accepts statements.
  virtual void OnOpen(const ready_line& ready) = 0;
  /// The connection could not be opened. `full` means that the endpoint accepts
  /// no more connections.
  virtual void OnRefused(bool full, std::string_view reason) = 0;
  virtual void OnLine(const endpoint_line& line) = 0;
  /// An open connection was lost. Called once.
  virtual void OnLost() = 0;
};

/// Connects, sends the startup message and parses the received lines.
class endpoint_socket final : private shell::connection_user {
 public:
  endpoint_socket(shell::event_loop& loop, const line_codec& codec,
                  endpoint_listener& listener)
      : loop_(loop), codec_(codec), listener_(listener) {}

  /// Returns false if the address is invalid; the listener is not called then.
  bool Connect(const endpoint_target& target, std::string_view instance);

  /// The buffer to append output to; Send must follow.
  std::string& Output() { return connection_->Output(); }
  /// Sends the output. Returns false if the connection is lost; the listener
  /// has been called then.
  bool Send();

  /// Closes the connection without calling the listener.
  void Close();
  bool IsOpen() const { return open_; }
  /// True if the endpoint's machine accepted the connection. It may still have
  /// sent nothing.
  bool IsEstablished() const;

 private:
  // connection_user.
  void OnBytes(std::span<const char> bytes) override;
  void OnRoom() override {}
  void OnGone() override;

  void OnStartupLine(const endpoint_line& line);
  void Refuse(bool full, std::string_view reason);

  shell::event_loop& loop_;
  const line_codec& codec_;
  endpoint_listener& listener_;
  Poco::Net::StreamSocket socket_;  ///< Shared with `connection_`.
  std::optional<shell::stream_connection> connection_;
  std::optional<line_splitter> input_;
  bool open_ = false;
  bool ended_ = false;
};

}  // namespace marjoramslip::lines

#endif  // MARJORAMSLIP_LIB_LINES_ENDPOINT_SOCKET_H_
