// The connection over which this instance forwards statements to one carrier.

#ifndef MARJORAMSLIP_LIB_FORWARDING_CARRIER_LINK_H_
#define MARJORAMSLIP_LIB_FORWARDING_CARRIER_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "frame_stream.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/lines/line_front.h"

namespace marjoramslip::forwarding {

class carrier_link;

/// What a link needs of its surroundings.
struct carrier_link_context {
  shell::event_loop& loop;
  /// The front of this instance's own callers.
  lines::statement_exchange& exchange;
  instance_id self;
  duration connect_timeout{};
  /// Called with a link that has ended; the link is destroyed later.
  std::function<void(instance_id)> on_ended;
};

/// Statements that are handed over before the carrier has answered the
/// connection are kept here: they count as not sent if it does not answer.
class carrier_link final : private frame_user {
 public:
  carrier_link(const carrier_link_context& context, instance_id carrier);
  ~carrier_link() override = default;
  carrier_link(const carrier_link&) = delete;
  carrier_link& operator=(const carrier_link&) = delete;

  /// Starts to connect to "host:port". Returns false if that is no address.
  bool Connect(const std::string& address);
  void Forward(const forward_statement& command);
  void EndCaller(caller_id caller);

 private:
  struct outstanding {
    request_id request;
    caller_id caller;
    /// Position of the statement's end in the stream; 0: not handed to it.
    std::uint64_t end = 0;
  };

  // frame_user.
  void OnMessage(const forward::Message& message) override;
  void OnProgress() override;
  void OnStreamEnded() override;

  void OnHello(const forward::Hello& hello);
  void OnAnswer(const forward::Answer& answer);
  /// The carrier ends: what it has not answered has not run.
  void OnLeave();
  /// Fails what is outstanding and reports the end of the link.
  void End();
  void Watch();
  void CheckSilence();
  void CallAfter(duration delay, void (carrier_link::*check)());
  void EndConnecting();

  const carrier_link_context& context_;
  instance_id carrier_;
  std::unique_ptr<frame_stream> stream_;
  bool ready_ = false;  ///< The carrier has answered the connection.
  bool ended_ = false;
  /// Messages that wait for the carrier's first answer, in order.
  std::vector<forward::Message> waiting_;
  std::map<std::uint64_t, outstanding> outstanding_;  ///< By attempt.

  // Supervision while statements or a ping are outstanding.
  bool watching_ = false;
  instant heard_at_{};    ///< When the wait for a reaction began.
  instant checked_at_{};  ///< When that was last checked.
  bool pinged_ = false;   ///< Since heard_at_.
  /// The silence since heard_at_ was reported. Until the carrier is heard
  /// again, nothing more is sent to it.
  bool reported_ = false;
  std::shared_ptr<carrier_link*> self_;
};

}  // namespace marjoramslip::forwarding

#endif  // MARJORAMSLIP_LIB_FORWARDING_CARRIER_LINK_H_
