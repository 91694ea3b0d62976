// A key_value_store that uses the JSON gateway of etcd v3.

#include "marjoramslip/kv/etcd_store.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include <utility>

#include "etcd_messages.h"
#include "etcd_watch.h"
#include "marjoramslip/base/attempt.h"
#include "marjoramslip/kv/http_channel.h"

namespace marjoramslip::kv {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;

class etcd_store : public key_value_store {
 public:
  etcd_store(std::vector<http_address> addresses, const etcd_options& options)
      : addresses_(std::move(addresses)),
        deadline_(options.deadline),
        watch_idle_timeout_(options.watch_idle_timeout),
        channel_(addresses_, options.deadline) {}

  result<range_result> Range(std::string_view prefix, bool exact) override {
    BOOST_LEAF_AUTO(body,
                    Call("/v3/kv/range", etcd::RangeRequest(prefix, exact),
                         request_effect::kReads));
    return ReplaceErrorKind(Attempt([&] { return etcd::ParseRange(body); }),
                            error_kind::kUnavailable);
  }

  result<std::uint64_t> Transact(const std::vector<condition>& conditions,
                                 const std::vector<mutation>& writes) override {
    BOOST_LEAF_AUTO(
        body, Call("/v3/kv/txn", etcd::TransactRequest(conditions, writes),
                   request_effect::kWrites));
    BOOST_LEAF_AUTO(
        answer,
        ReplaceErrorKind(Attempt([&] { return etcd::ParseTransact(body); }),
                         error_kind::kUnknown));
    if (!answer.succeeded) {
      return Fail(error_kind::kConflict, "a condition does not hold");
    }
    return answer.revision;
  }

  result<std::uint64_t> GrantLease(std::chrono::seconds ttl) override {
    BOOST_LEAF_AUTO(body, Call("/v3/lease/grant", etcd::GrantRequest(ttl),
                               request_effect::kWrites));
    return ReplaceErrorKind(Attempt([&] { return etcd::ParseGrant(body); }),
                            error_kind::kUnknown);
  }

  result<void> KeepAlive(std::uint64_t lease) override {
    // Renewal is idempotent, so it counts as a read: a lost answer is harmless.
    BOOST_LEAF_AUTO(body, Call("/v3/lease/keepalive", etcd::LeaseRequest(lease),
                               request_effect::kReads, error_kind::kConflict));
    BOOST_LEAF_AUTO(
        seconds,
        ReplaceErrorKind(Attempt([&] { return etcd::ParseKeepAlive(body); }),
                         error_kind::kUnavailable));
    if (seconds <= 0) {
      return Fail(error_kind::kConflict, "the lease has lapsed");
    }
    return {};
  }

  result<void> RevokeLease(std::uint64_t lease) override {
    const auto done = Attempt([&] {
      return Call("/v3/lease/revoke", etcd::LeaseRequest(lease),
                  request_effect::kWrites, error_kind::kConflict);
    });
    // A lease that does not exist counts as revoked.
    if (done || done.Failed(error_kind::kConflict)) {
      return {};
    }
    return Fail(done.failure.kind, done.failure.message);
  }

  result<std::unique_ptr<watch_handle>> Watch(
      std::string_view prefix, std::uint64_t revision,
      std::function<void(const change&)> on_change,
      std::function<void()> on_reset) override {
    return std::unique_ptr<watch_handle>(
        std::make_unique<etcd_watch>(watch_config{
            addresses_, deadline_, watch_idle_timeout_, std::string(prefix),
            revision, std::move(on_change), std::move(on_reset)}));
  }

 private:
  /// Posts a request and returns the body of a successful answer. A write that
  /// is answered with an error status may have taken effect, except for 400 and
  /// 404. Status 404 fails with `missing`.
  result<std::string> Call(const std::string& path, const std::string& request,
                           request_effect effect,
                           error_kind missing = error_kind::kInvalid) {
    BOOST_LEAF_AUTO(reply, channel_.Post(path, request, effect));
    if (reply.status == kHttpOk) {
      return std::move(reply.body);
    }
    std::string message = "key-value service answered with status " +
                          std::to_string(reply.status) + ": " + reply.body;
    if (reply.status == kHttpBadRequest) {
      return Fail(error_kind::kInvalid, std::move(message));
    }
    if (reply.status == kHttpNotFound) {
      return Fail(missing, std::move(message));
    }
    return Fail(effect == request_effect::kReads ? error_kind::kUnavailable
                                                 : error_kind::kUnknown,
                std::move(message));
  }

  /// Replaces the kind of a parse error: a malformed answer does not show
  /// whether the request took effect.
  template <typename answer>
  result<answer> ReplaceErrorKind(attempted<answer> parsed, error_kind kind) {
    if (!parsed) {
      return Fail(kind, std::move(parsed.failure.message));
    }
    return std::move(*parsed.got);
  }

  std::vector<http_address> addresses_;
  duration deadline_;
  duration watch_idle_timeout_;
  http_channel channel_;
};

result<http_address> ParseAddress(const std::string& text) {
  try {
    const Poco::URI uri(text);
    if (uri.getScheme() == "http" && !uri.getHost().empty()) {
      return http_address{uri.getHost(), uri.getPort()};
    }
  } catch (const Poco::Exception&) {
    // Reported below.
  }
  return Fail(error_kind::kInvalid,
              "address is not \"http://host:port\": " + text);
}

}  // namespace

result<std::unique_ptr<key_value_store>> MakeEtcdStore(
    const etcd_options& options) {
  std::vector<http_address> addresses;
  for (const std::string& text : options.addresses) {
    BOOST_LEAF_AUTO(address, ParseAddress(text));
    addresses.push_back(std::move(address));
  }
  if (addresses.empty()) {
    return Fail(error_kind::kInvalid,
                "no address of the key-value service is configured");
  }
  return std::unique_ptr<key_value_store>(
      std::make_unique<etcd_store>(std::move(addresses), options));
}

}  // namespace marjoramslip::kv
