// A watch on the gateway of etcd v3 that reconnects automatically.

#ifndef MARJORAMSLIP_LIB_KV_ETCD_WATCH_H_
#define MARJORAMSLIP_LIB_KV_ETCD_WATCH_H_

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <istream>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "marjoramslip/kv/http_channel.h"
#include "marjoramslip/kv/key_value_store.h"

namespace marjoramslip::kv {

/// The watched prefix, the connection settings and the callbacks of a watch.
struct watch_config {
  std::vector<http_address> addresses;
  duration connect_timeout{};
  /// The watch reconnects if it receives nothing for this long.
  duration idle_timeout{};
  std::string prefix;
  std::uint64_t revision = 0;
  std::function<void(const change&)> on_change;
  std::function<void()> on_reset;
};

/// Runs the callbacks on its own thread until destroyed.
class etcd_watch : public watch_handle {
 public:
  explicit etcd_watch(watch_config config);
  ~etcd_watch() override;
  etcd_watch(const etcd_watch&) = delete;
  etcd_watch& operator=(const etcd_watch&) = delete;

 private:
  void Run();
  /// Connects and processes the stream until it ends. Returns true if any valid
  /// message arrived.
  bool RunConnection(const http_address& address);
  /// Processes messages until the stream ends or a new connection is needed.
  /// Returns true if any valid message arrived.
  bool ProcessStream(std::istream& in);
  /// Processes one message. Returns false if a new connection is needed.
  bool ProcessMessage(const std::string& line);
  bool IsStopping();
  /// Lets the destructor shut the socket down; returns false if the watch is
  /// already stopping.
  bool RegisterSocket(const Poco::Net::StreamSocket& socket);

  watch_config config_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<Poco::Net::StreamSocket> socket_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace marjoramslip::kv

#endif  // MARJORAMSLIP_LIB_KV_ETCD_WATCH_H_
