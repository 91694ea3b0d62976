// A Poco socket over a descriptor that something else owns.

#ifndef MARJORAMSLIP_RUNTIME_BORROWED_SOCKET_H_
#define MARJORAMSLIP_RUNTIME_BORROWED_SOCKET_H_

#include <Poco/Net/StreamSocket.h>

namespace marjoramslip::shell {

/// Lets a loop watch a descriptor. It is never closed, read or written here.
class borrowed_socket : public Poco::Net::StreamSocket {
 public:
  explicit borrowed_socket(int descriptor);
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_BORROWED_SOCKET_H_
