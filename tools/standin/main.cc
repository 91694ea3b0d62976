// Entry point of standin: test tools that take the place of the platform's
// key-value service and of the databases.

#include <Poco/Exception.h>
#include <popt.h>

#include <iostream>
#include <sstream>
#include <string_view>

#include "database_server.h"
#include "kv_server.h"
#include "platform/platform_server.h"

namespace {

constexpr int kUsageExit = 2;

int Usage() {
  std::cerr
      << "usage: standin kv|database|platform OPTIONS (--help lists them)\n";
  return kUsageExit;
}

/// Reads options with popt; false on a usage error.
bool ReadOptions(int argc, const char** argv, const poptOption* table) {
  poptContext context = poptGetContext("standin", argc, argv, table, 0);
  const int code = poptGetNextOpt(context);
  if (code < -1) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(code)
              << "\n";
  }
  poptFreeContext(context);
  return code == -1;
}

int Kv(int argc, const char** argv) {
  const char* host = "127.0.0.1";
  int port = 0;
  int seed = 1;
  const poptOption table[] = {
      {"host", 0, POPT_ARG_STRING, static_cast<void*>(&host), 0, "address", ""},
      {"port", 0, POPT_ARG_INT, &port, 0, "port; 0 lets the system choose", ""},
      {"seed", 0, POPT_ARG_INT, &seed, 0, "of the faults' randomness", ""},
      POPT_AUTOHELP POPT_TABLEEND};
  if (!ReadOptions(argc, argv, table)) {
    return kUsageExit;
  }
  return standin::RunKv({host, static_cast<std::uint16_t>(port),
                         static_cast<std::uint64_t>(seed)});
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

int Database(int argc, const char** argv) {
  const char* name = "database";
  const char* host = "127.0.0.1";
  const char* peers = "";
  int port = 0;
  int control_port = 0;
  int primary = 0;
  int slots = 3;
  int connections = 20;
  int service_us = 500;
  int connect_ms = 10;
  int lag_ms = 50;
  const poptOption table[] = {
      {"name", 0, POPT_ARG_STRING, static_cast<void*>(&name), 0, "name", ""},
      {"host", 0, POPT_ARG_STRING, static_cast<void*>(&host), 0, "address", ""},
      {"port", 0, POPT_ARG_INT, &port, 0, "port; 0 lets the system choose", ""},
      {"control-port", 0, POPT_ARG_INT, &control_port, 0, "for orders", ""},
      {"group-size-peers", 0, POPT_ARG_STRING, static_cast<void*>(&peers), 0,
       "the group's other databases, host:port,...", ""},
      {"primary", 0, POPT_ARG_NONE, &primary, 0, "start as primary of term 1",
       nullptr},
      {"slots", 0, POPT_ARG_INT, &slots, 0, "statements at once", ""},
      {"connections", 0, POPT_ARG_INT, &connections, 0, "limit", ""},
      {"service-us", 0, POPT_ARG_INT, &service_us, 0, "of a statement", ""},
      {"connect-ms", 0, POPT_ARG_INT, &connect_ms, 0, "of a connection", ""},
      {"lag-ms", 0, POPT_ARG_INT, &lag_ms, 0, "of replication", ""},
      POPT_AUTOHELP POPT_TABLEEND};
  if (!ReadOptions(argc, argv, table)) {
    return kUsageExit;
  }
  standin::database_options options;
  options.name = name;
  options.host = host;
  options.port = static_cast<std::uint16_t>(port);
  options.control_port = static_cast<std::uint16_t>(control_port);
  options.peers = SplitAtCommas(peers);
  options.primary = primary != 0;
  options.slots = slots;
  options.connections = connections;
  options.costs.service = std::chrono::microseconds(service_us);
  options.costs.connect = std::chrono::milliseconds(connect_ms);
  options.lag = std::chrono::milliseconds(lag_ms);
  return standin::RunDatabase(options);
}

int Platform(int argc, const char** argv) {
  const char* service = "store";
  int port = 0;
  int seed = 1;
  int databases = 3;
  int slots = 3;
  int connections = 23;
  int work_us = 2000;
  int lag_ms = 20;
  int delivery_ms = 2;
  int promotion_ms = 300;
  int follow_ms = 0;
  const poptOption table[] = {
      {"service", 0, POPT_ARG_STRING, static_cast<void*>(&service), 0, "name",
       ""},
      {"port", 0, POPT_ARG_INT, &port, 0, "port; 0 lets the system choose", ""},
      {"seed", 0, POPT_ARG_INT, &seed, 0, "of the faults' randomness", ""},
      {"databases", 0, POPT_ARG_INT, &databases, 0, "of the service", ""},
      {"slots", 0, POPT_ARG_INT, &slots, 0, "statements at once", ""},
      {"connections", 0, POPT_ARG_INT, &connections, 0, "limit", ""},
      {"work-us", 0, POPT_ARG_INT, &work_us, 0, "of a statement", ""},
      {"lag-ms", 0, POPT_ARG_INT, &lag_ms, 0, "of replication", ""},
      {"delivery-ms", 0, POPT_ARG_INT, &delivery_ms, 0,
       "until replicas have received a commit", ""},
      {"promotion-ms", 0, POPT_ARG_INT, &promotion_ms, 0, "of a promotion", ""},
      {"follow-ms", 0, POPT_ARG_INT, &follow_ms, 0,
       "from a promotion to when replicas follow it", ""},
      POPT_AUTOHELP POPT_TABLEEND};
  if (!ReadOptions(argc, argv, table)) {
    return kUsageExit;
  }
  standin::platform_options options;
  options.port = static_cast<std::uint16_t>(port);
  options.seed = static_cast<std::uint64_t>(seed);
  options.group.databases = static_cast<std::size_t>(databases);
  options.group.lag = std::chrono::milliseconds(lag_ms);
  options.group.delivery = std::chrono::milliseconds(delivery_ms);
  options.group.promotion = std::chrono::milliseconds(promotion_ms);
  options.group.follow = std::chrono::milliseconds(follow_ms);
  options.database.service = service;
  options.database.slots = slots;
  options.database.connections = connections;
  options.database.work = std::chrono::microseconds(work_us);
  return standin::RunPlatform(options);
}

}  // namespace

int main(int argc, const char** argv) {
  if (argc < 2) {
    return Usage();
  }
  const std::string_view kind = argv[1];
  try {
    if (kind == "kv") {
      return Kv(argc - 1, argv + 1);
    }
    if (kind == "database") {
      return Database(argc - 1, argv + 1);
    }
    if (kind == "platform") {
      return Platform(argc - 1, argv + 1);
    }
  } catch (const Poco::Exception& error) {
    std::cerr << error.displayText() << "\n";
    return 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 1;
  }
  return Usage();
}
