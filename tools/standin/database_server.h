// The process of a database stand-in: accepts connections, replicates, and
// takes orders for faults over HTTP.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_DATABASE_SERVER_H_
#define MARJORAMSLIP_TOOLS_STANDIN_DATABASE_SERVER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "database_session.h"

namespace standin {

/// How to serve.
struct database_options {
  std::string name;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;          ///< 0: chosen by the system and printed.
  std::uint16_t control_port = 0;  ///< Likewise.
  std::vector<std::string> peers;  ///< "host:port" of the group's others.
  bool primary = false;
  int slots = 3;
  int connections = 20;
  database_costs costs;
  std::chrono::milliseconds lag{50};
};

/// Serves until SIGTERM or SIGINT. Returns the exit code.
int RunDatabase(const database_options& options);

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_DATABASE_SERVER_H_
