// Lines over TCP.

#include "line_socket.h"

#include <Poco/Net/NetException.h>

#include <array>

namespace standin {

std::string line_socket::ReadLine() {
  std::size_t end = buffer_.find('\n');
  while (end == std::string::npos) {
    Fill();
    end = buffer_.find('\n');
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 1);
  return line;
}

std::string line_socket::ReadBytes(std::size_t count) {
  while (buffer_.size() < count) {
    Fill();
  }
  std::string bytes = buffer_.substr(0, count);
  buffer_.erase(0, count);
  return bytes;
}

void line_socket::Write(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    sent += static_cast<std::size_t>(socket_.sendBytes(
        bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
  }
}

void line_socket::Fill() {
  std::array<char, 16384> chunk{};
  const int count =
      socket_.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
  if (count <= 0) {
    throw Poco::Net::ConnectionResetException("the peer has closed");
  }
  buffer_.append(chunk.data(), static_cast<std::size_t>(count));
}

}  // namespace standin
