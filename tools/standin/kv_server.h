// The HTTP face of the key-value stand-in.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_KV_SERVER_H_
#define MARJORAMSLIP_TOOLS_STANDIN_KV_SERVER_H_

#include <cstdint>
#include <string>

namespace standin {

/// How to serve.
struct kv_options {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;  ///< 0: chosen by the system and printed.
  std::uint64_t seed = 1;  ///< Of the faults' randomness.
};

/// Serves until SIGTERM or SIGINT. Returns the exit code.
int RunKv(const kv_options& options);

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_KV_SERVER_H_
