// A caller's socket with the bytes that wait for it.

#ifndef MARJORAMSLIP_RUNTIME_STREAM_CONNECTION_H_
#define MARJORAMSLIP_RUNTIME_STREAM_CONNECTION_H_

#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include "marjoramslip/base/time.h"
#include "marjoramslip/runtime/event_loop.h"

namespace marjoramslip::shell {

/// Why a connection was closed.
enum class close_cause : std::uint8_t {
  kInstance,  ///< This process closed it.
  kCaller,    ///< The caller closed it.
  kFailure,   ///< A reset, or another error of the socket.
  kStall,     ///< The caller took no byte for the time allowed.
};

/// Is told of what happens on a connection.
class connection_user {
 public:
  virtual ~connection_user() = default;
  virtual void OnBytes(std::span<const char> bytes) = 0;
  /// Some of what waited has been sent.
  virtual void OnRoom() = 0;
  /// The connection is closed, by whichever side. Called once.
  virtual void OnGone() = 0;
};

/// Reads, buffers and writes without blocking.
class stream_connection : public socket_handler {
 public:
  /// A caller that takes no byte for `stall` is given up.
  stream_connection(event_loop& loop, const Poco::Net::StreamSocket& socket,
                    duration stall, connection_user& user);
  ~stream_connection() override;
  stream_connection(const stream_connection&) = delete;
  stream_connection& operator=(const stream_connection&) = delete;

  /// Bytes to send are appended here; Schedule or Flush must follow.
  std::string& Output() { return output_; }
  /// Sends when the loop comes round.
  void Schedule();
  /// Sends now what the socket takes.
  void Flush();

  /// Bytes that wait.
  std::size_t Pending() const { return output_.size() - offset_; }
  /// Bytes appended since the beginning.
  std::uint64_t Position() const { return sent_ + Pending(); }
  /// Takes back everything after `position`; false if some of it is sent.
  bool TakeBack(std::uint64_t position);

  void SetReading(bool reading);
  /// Reads what has arrived by now, up to a limit.
  void ReadAvailable();
  /// True if the last read left bytes behind, as far as is known.
  bool MayHaveMore() const { return may_have_more_; }
  /// Closes once everything is sent; reads no more.
  void CloseAfterFlush();
  /// As CloseAfterFlush, for a last message that must arrive: what the caller
  /// still sends is read and dropped for a while, since closing with bytes
  /// unread resets the connection.
  void LingerAfterFlush();
  void Close();
  bool Open() const { return open_; }
  bool Closing() const { return closing_; }
  /// Why it was closed; meaningful once it is.
  close_cause Cause() const { return cause_; }

  void OnReadable() override;
  void OnWritable() override;
  void OnSocketError() override { CloseFor(close_cause::kFailure); }

 private:
  void Register(bool reading, bool writing);
  bool SendSome();
  /// Reads once; false if nothing is left to read now.
  bool ReadSome();
  void EndOutput();
  void CloseFor(close_cause cause);
  void CloseIn(duration delay);
  void WatchForStall();
  void CheckStallAfter(duration delay);
  void CheckStall();

  event_loop& loop_;
  Poco::Net::StreamSocket socket_;
  duration stall_;
  connection_user& user_;
  std::string output_;
  std::size_t offset_ = 0;
  std::uint64_t sent_ = 0;
  bool reading_ = true;
  bool may_have_more_ = false;
  bool writing_ = false;
  bool open_ = true;
  bool closing_ = false;
  close_cause cause_ = close_cause::kInstance;
  bool lingers_ = false;  ///< Waits for the caller's end when flushed.
  bool output_ended_ = false;
  bool stuck_ = false;          ///< Bytes wait since `progress_` or later.
  bool stall_watched_ = false;  ///< A timer runs.
  instant progress_;
  std::shared_ptr<stream_connection*> self_;
};

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_RUNTIME_STREAM_CONNECTION_H_
