// The process that takes the platform's place: store, promotion call and the
// databases of one service.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_PLATFORM_SERVER_H_
#define MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_PLATFORM_SERVER_H_

#include <cstdint>
#include <string>

#include "line_group.h"
#include "line_server.h"

namespace standin {

/// How to serve.
struct platform_options {
  std::uint16_t port = 0;  ///< 0: chosen by the system and printed.
  std::uint64_t seed = 1;  ///< Of the faults' randomness.
  line_group_options group;
  line_server_options database;  ///< Of each; the id is made from its index.
  std::chrono::milliseconds beat{1200};
};

/// Serves until SIGTERM or SIGINT. Returns the exit code.
int RunPlatform(const platform_options& options);

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_PLATFORM_SERVER_H_
