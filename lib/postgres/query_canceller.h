// Sends cancel requests. libpq only offers a call that blocks, so each request
// has a thread; their number is bounded.

#ifndef MARJORAMSLIP_LIB_POSTGRES_QUERY_CANCELLER_H_
#define MARJORAMSLIP_LIB_POSTGRES_QUERY_CANCELLER_H_

#include <libpq-fe.h>

#include <atomic>
#include <memory>

namespace marjoramslip::shell {

/// Best effort: a request is dropped while too many others are in flight, and
/// requests in flight do not delay the end of the process.
class query_canceller {
 public:
  /// Takes ownership of `handle`, which may be null.
  void Cancel(PGcancel* handle);

 private:
  std::shared_ptr<std::atomic<int>> in_flight_ =
      std::make_shared<std::atomic<int>>(0);
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_POSTGRES_QUERY_CANCELLER_H_
