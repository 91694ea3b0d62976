// The platform's store over HTTP, and the databases that register there.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_PLATFORM_STORE_H_
#define MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_PLATFORM_STORE_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "../json_text.h"
#include "../kv_faults.h"
#include "../kv_store.h"

namespace standin {

/// An answer: status and JSON.
struct store_answer {
  int status = 200;
  json_object body = new Poco::JSON::Object;
};

/// Calls of one kind in one second; safe for use by several threads.
class call_budget {
 public:
  explicit call_budget(int per_second) : per_second_(per_second) {}
  /// False if the second's calls are used up.
  bool Take();

 private:
  std::mutex mutex_;
  std::chrono::steady_clock::time_point second_;
  int per_second_;
  int used_ = 0;
};

/// Keys, leases, watches, limits and faults of the store.
class platform_store {
 public:
  static constexpr int kWritesPerSecond = 400;
  static constexpr int kReadsPerSecond = 2000;

  explicit platform_store(std::uint64_t seed) : faults_(seed) {}

  kv_store& Keys() { return keys_; }
  kv_faults& Faults() { return faults_; }

  /// Writes a key as the platform itself does: past all faults and limits.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

  /// Answers one call, or throws Poco::Exception on malformed input.
  /// Waits of watches end early once the store ends.
  store_answer Call(const std::string& method, const std::string& uri,
                    const std::string& body);

  /// Goes away for a while and comes back from a copy of `age` before now. What
  /// the operator and the databases wrote is written again.
  void Drill(std::chrono::milliseconds age, std::chrono::milliseconds away);
  /// Takes copies and ends drills; to be called regularly.
  void Tick();
  bool Away() const { return away_; }
  /// How often it has come back from a copy.
  std::uint64_t Era() const { return era_; }
  /// Whether answers tell the era, as they do at first.
  bool TellsEra() const { return tells_era_; }
  void SetTellsEra(bool tells) { tells_era_ = tells; }
  /// True if calls of this kind change something.
  static bool Writes(const std::string& method, const std::string& uri);

  void End() { ending_ = true; }
  bool Ending() const { return ending_; }

 private:
  using query = std::map<std::string, std::string>;

  store_answer Item(const query& asked);
  store_answer Page(const query& asked);
  store_answer Watch(const query& asked);
  store_answer Transact(const json_object& body);
  store_answer Grant(const json_object& body);
  store_answer Keep(const std::string& id);
  store_answer EndLease(const std::string& id);
  json_object Describe(const kv_pair& pair) const;

  kv_store keys_;
  kv_faults faults_;
  struct timed_copy {
    std::chrono::steady_clock::time_point taken;
    kv_copy copy;
  };
  void ComeBack();

  std::mutex drill_mutex_;
  std::deque<timed_copy> copies_;
  kv_copy restored_;  ///< What the drill in progress goes back to.
  std::chrono::steady_clock::time_point back_at_;
  std::atomic<bool> away_ = false;
  std::atomic<std::uint64_t> era_ = 1;
  std::atomic<bool> tells_era_ = true;
  call_budget writes_{kWritesPerSecond};
  call_budget reads_{kReadsPerSecond};
  std::atomic<bool> ending_ = false;
};

/// Sends an answer.
void SendAnswer(Poco::Net::HTTPServerResponse& response,
                const store_answer& answer);

/// Answers calls of the store, with the faults that are in force.
class store_handler : public Poco::Net::HTTPRequestHandler {
 public:
  explicit store_handler(platform_store& store) : store_(store) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  platform_store& store_;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_PLATFORM_STORE_H_
