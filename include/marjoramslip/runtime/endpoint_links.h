// Connections to endpoints, whatever protocol they speak.

#ifndef MARJORAMSLIP_RUNTIME_ENDPOINT_LINKS_H_
#define MARJORAMSLIP_RUNTIME_ENDPOINT_LINKS_H_

#include <cstdint>
#include <string_view>

#include "marjoramslip/catalogue/catalogue.h"
#include "marjoramslip/core/effects.h"

namespace marjoramslip::shell {

/// How an answer of an endpoint does not fit what was sent to it.
enum class answer_mismatch : std::uint8_t {
  kUnrequested,  ///< No statement was in progress.
  kRepeated,     ///< It ends like an earlier answer on the same connection.
  kUnsigned,     ///< A success without the signature that its kind needs.
  kOutOfStep,    ///< It answers neither the statement in progress nor those of
                 ///< the instance that precede or follow it.
  kMalformed,    ///< Not a message of the protocol.
};

std::string_view NameOf(answer_mismatch mismatch);

struct mismatched_answer {
  endpoint_id endpoint;
  connection_id connection{};  ///< 0: the monitoring connection.
  request_id request{};        ///< The statement in progress; 0: none.
  answer_mismatch mismatch = answer_mismatch::kOutOfStep;
  /// The connection was given up because of it.
  bool connection_closed = false;
};

/// Is informed of answers that do not fit.
class answer_observer {
 public:
  virtual ~answer_observer() = default;
  virtual void OnMismatchedAnswer(const mismatched_answer& answer) = 0;
};

/// Carries out effects addressed to endpoints and posts what comes of them.
class endpoint_links {
 public:
  virtual ~endpoint_links() = default;

  /// Learns the addresses of endpoints.
  virtual void SetCatalogue(const catalogue& value) = 0;

  virtual void Open(const open_connection& what) = 0;
  virtual void Close(const close_connection& what) = 0;
  virtual void Send(const send_statement& what) = 0;
  virtual void Cancel(const cancel_statement& what) = 0;
  virtual void Probe(const probe_endpoint& what) = 0;
  virtual void Move(const move_endpoint& what) = 0;
  virtual void Promote(const promote_endpoint& what) = 0;

  /// `observer` must outlive the links; null: none.
  virtual void SetObserver(answer_observer* /*observer*/) {}
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_ENDPOINT_LINKS_H_
