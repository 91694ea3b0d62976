// Lines and counted bytes over a TCP socket, for replication.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_LINE_SOCKET_H_
#define MARJORAMSLIP_TOOLS_STANDIN_LINE_SOCKET_H_

#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <chrono>
#include <string>

namespace standin {

/// A length of time as POCO's sockets take it.
inline Poco::Timespan ToTimespan(std::chrono::microseconds time) {
  return {time.count()};
}

/// Reads throw Poco::Exception when the peer is gone or too slow.
class line_socket {
 public:
  explicit line_socket(const Poco::Net::StreamSocket& socket)
      : socket_(socket) {}

  /// The next line without its end.
  std::string ReadLine();

  /// Exactly `count` bytes.
  std::string ReadBytes(std::size_t count);

  void Write(const std::string& bytes);

 private:
  void Fill();

  Poco::Net::StreamSocket socket_;
  std::string buffer_;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_LINE_SOCKET_H_
