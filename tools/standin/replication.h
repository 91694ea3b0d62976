// Asynchronous replication between database stand-ins: a replica pulls the
// log of its group's primary over the port that also serves SQL.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_REPLICATION_H_
#define MARJORAMSLIP_TOOLS_STANDIN_REPLICATION_H_

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>
#include <vector>

#include "database.h"
#include "line_socket.h"
#include "link_faults.h"

namespace standin {

/// The startup parameter that turns a connection into one for replication.
inline constexpr const char* kReplicationParameter = "standin_replication";

/// Serves pulls on a connection until it ends. Throws Poco::Exception.
void ServePulls(const Poco::Net::StreamSocket& socket, database& state,
                const link_faults& faults);

/// Pulls from the peers while the database is no primary.
class replicator {
 public:
  replicator(database& state, const link_faults& faults,
             const std::vector<std::string>& peers);

  /// Runs until the process ends.
  void Run();

 private:
  /// Another database of the group and the connection to it, if any.
  struct peer {
    Poco::Net::SocketAddress address;
    std::unique_ptr<line_socket> link;
  };

  void PullFromSource(const pull_request& request);
  void PullFromHighest(const pull_request& request);
  std::optional<pull_answer> Ask(peer& from, const pull_request& request);

  database& state_;
  const link_faults& faults_;
  std::vector<peer> peers_;
  std::size_t source_ = 0;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_REPLICATION_H_
