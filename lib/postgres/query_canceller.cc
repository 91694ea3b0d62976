// One detached thread a request.

#include "query_canceller.h"

#include <array>
#include <system_error>
#include <thread>

namespace marjoramslip::shell {

namespace {

constexpr int kMaxInFlight = 16;
constexpr int kReasonBytes = 256;

void SendCancel(PGcancel* handle) {
  std::array<char, kReasonBytes> reason{};
  PQcancel(handle, reason.data(), kReasonBytes);
  PQfreeCancel(handle);
}

}  // namespace

void query_canceller::Cancel(PGcancel* handle) {
  if (handle == nullptr) {
    return;
  }
  if (in_flight_->fetch_add(1) >= kMaxInFlight) {
    in_flight_->fetch_sub(1);
    PQfreeCancel(handle);
    return;
  }
  try {
    std::thread([handle, in_flight = in_flight_] {
      SendCancel(handle);
      in_flight->fetch_sub(1);
    }).detach();
  } catch (const std::system_error&) {
    in_flight_->fetch_sub(1);
    PQfreeCancel(handle);
  }
}

}  // namespace marjoramslip::shell
