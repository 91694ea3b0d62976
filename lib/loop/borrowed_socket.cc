// Gives the descriptor up in place of closing it.

#include "marjoramslip/runtime/borrowed_socket.h"

#include <Poco/Net/StreamSocketImpl.h>

namespace marjoramslip::shell {

namespace {

class borrowed_socket_impl : public Poco::Net::StreamSocketImpl {
 public:
  explicit borrowed_socket_impl(int descriptor)
      : Poco::Net::StreamSocketImpl(descriptor) {}

 protected:
  ~borrowed_socket_impl() override { reset(); }
};

}  // namespace

borrowed_socket::borrowed_socket(int descriptor)
    : Poco::Net::StreamSocket(new borrowed_socket_impl(descriptor)) {}

}  // namespace marjoramslip::shell
