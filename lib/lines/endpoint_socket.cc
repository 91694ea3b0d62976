// Startup of a connection to an endpoint, and the lines that follow.

#include "endpoint_socket.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <string>
#include <utility>
#include <variant>

#include "framing.h"

namespace marjoramslip::lines {
namespace {

/// Maximum length of a message of the protocol.
constexpr std::size_t kMaxLineBytes = (1U << 20U) + 1024;
/// The kernel closes the connection if sent data is unacknowledged for this
/// long. A value below the statement time-outs would end live connections.
constexpr int kTcpUserTimeoutMs = 3000;
/// The connection ends if the endpoint does not read pending output for this
/// long.
constexpr duration kWriteStallTimeout = std::chrono::seconds(3);

}  // namespace

bool endpoint_socket::Connect(const endpoint_target& target,
                              std::string_view instance) {
  Poco::Net::StreamSocket& socket = socket_;
  try {
    const Poco::Net::SocketAddress address(target.host, target.port);
    socket.connectNB(address);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, kTcpUserTimeoutMs);
  } catch (const Poco::Exception&) {
    return false;
  }
  std::string startup;
  codec_.AppendStartup(target.service, instance, target.endpoint, startup);
  if (CountLines(startup) != 1) {
    // A name holds a line end; what follows it would be another message.
    return false;
  }
  input_.emplace(kMaxLineBytes);
  connection_.emplace(loop_, socket, kWriteStallTimeout,
                      static_cast<shell::connection_user&>(*this));
  connection_->Output().append(startup);
  connection_->Schedule();
  return true;
}

bool endpoint_socket::IsEstablished() const {
  try {
    socket_.peerAddress();
    return connection_.has_value() && !ended_;
  } catch (const Poco::Exception&) {
    return false;
  }
}

bool endpoint_socket::Send() {
  connection_->Flush();
  return !ended_;
}

void endpoint_socket::Close() {
  ended_ = true;
  open_ = false;
  if (connection_) {
    connection_->Close();
  }
}

void endpoint_socket::OnBytes(std::span<const char> bytes) {
  input_->Add(bytes);
  while (!ended_) {
    const auto text = input_->Next();
    if (!text) {
      break;
    }
    const endpoint_line line = codec_.ParseEndpoint(*text);
    if (open_) {
      listener_.OnLine(line);
    } else {
      OnStartupLine(line);
    }
  }
  if (!ended_ && input_->Overflowed()) {
    connection_->Close();
  }
}

void endpoint_socket::OnStartupLine(const endpoint_line& line) {
  if (const auto* ready = std::get_if<ready_line>(&line)) {
    open_ = true;
    listener_.OnOpen(*ready);
    return;
  }
  const auto* error = std::get_if<error_line>(&line);
  const bool full = error != nullptr &&
                    error->reason == endpoint_refusal::kTooManyConnections;
  Refuse(full,
         error != nullptr ? error->line : "unexpected message during startup");
}

void endpoint_socket::Refuse(bool full, std::string_view reason) {
  const std::string copy(reason);
  Close();
  listener_.OnRefused(full, copy);
}

void endpoint_socket::OnGone() {
  if (ended_) {
    return;
  }
  ended_ = true;
  if (std::exchange(open_, false)) {
    listener_.OnLost();
    return;
  }
  listener_.OnRefused(false, "cannot connect to the endpoint");
}

}  // namespace marjoramslip::lines
