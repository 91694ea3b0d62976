// A connection to a database of the platform.

#ifndef MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_LINE_CONNECTION_H_
#define MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_LINE_CONNECTION_H_

#include <Poco/Net/TCPServerConnection.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "line_server.h"

namespace standin {

/// Reads lines and answers each until one side ends it.
class line_connection : public Poco::Net::TCPServerConnection {
 public:
  line_connection(const Poco::Net::StreamSocket& socket, line_server& owner);
  ~line_connection() override;

  void run() override;

 private:
  enum class state : std::uint8_t { kIdle, kOpen, kFailed };

  struct prepared {
    bool writes = false;
    std::string shape;
  };

  /// The next line; empty when the connection is over.
  std::optional<std::string> ReadLine();
  bool Over() const;
  void Send(const std::string& text);
  /// Sends the answer that is complete, and again later if it is to be.
  void SendAnswer();
  /// Sends the repeated answers that are due, between two answers.
  void SendRepeats();
  /// False if it was refused.
  bool StartUp(const std::string& line);

  void Query(const std::string& id, const std::string& text);
  /// Each answers with DONE's field, or sends an error and returns nothing.
  std::optional<std::string> Run(const std::string& id,
                                 const std::string& text);
  std::optional<std::string> RunPlain(const std::string& id,
                                      const std::vector<std::string>& words,
                                      const std::string& text);
  std::optional<std::string> RunPrepared(const std::string& id,
                                         const std::string& text);
  std::optional<std::string> Begin(bool read_only);
  std::optional<std::string> End(const std::string& id, bool commit);
  std::optional<std::string> Read(const std::string& id,
                                  const std::string& text,
                                  const std::string& item);
  std::optional<std::string> Write(const std::string& id,
                                   const std::string& text,
                                   const std::string& item,
                                   const std::string& data);
  std::optional<std::string> Status();
  std::optional<std::string> Order(const std::vector<std::string>& words);
  std::optional<std::string> Refuse(const std::string& code,
                                    const std::string& text);
  /// True if a plain transaction may go on, or a statement may write.
  bool Leads() const;
  /// Holds a slot for the time of a statement; false if the connection ended.
  bool Work(std::chrono::microseconds time);
  void Ready();
  void Note(const std::string& id, const std::string& text, bool committed);
  std::string Owner() const;

  line_server& owner_;
  std::uint64_t epoch_;
  struct repeat {
    steady_time due;
    std::chrono::milliseconds pause{0};
    std::string answer;
  };

  std::string buffer_;
  std::string answer_;  ///< Of the statement in progress, so far.
  std::vector<repeat> repeats_;
  std::string client_;  ///< In whose name it was opened.
  state state_ = state::kIdle;
  bool read_only_ = false;
  std::uint64_t term_ = 0;  ///< Of the database when the transaction began.
  line_writes writes_;
  std::vector<statement_run> runs_;
  std::map<std::string, std::string> values_;
  std::map<std::string, prepared> prepared_;
};

}  // namespace standin

#endif  // MARJORAMSLIP_TOOLS_STANDIN_PLATFORM_LINE_CONNECTION_H_
