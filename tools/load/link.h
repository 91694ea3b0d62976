// A caller's connection, over libpq, with a deadline on every wait.

#ifndef MARJORAMSLIP_TOOLS_LOAD_LINK_H_
#define MARJORAMSLIP_TOOLS_LOAD_LINK_H_

#include <libpq-fe.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace load {

/// What the caller may conclude of a request's effect.
enum class outcome : std::uint8_t {
  kAccepted,    ///< Answered with success.
  kNotRun,      ///< Refused, with the promise that it did not run.
  kMayHaveRun,  ///< Unknown.
  kRan,         ///< Failed for the caller, but took effect.
};

/// "accepted", "not_run", "may_have_run" or "ran".
const char* OutcomeName(outcome value);

/// The answer to one query.
struct reply {
  outcome effect = outcome::kAccepted;
  bool sent = true;      ///< False if no connection could be had.
  bool broken = false;   ///< The connection ended or the deadline passed.
  bool verdict = true;   ///< False if an error named none.
  std::string sqlstate;  ///< Of an error.
  std::string message;   ///< Of an error.
  std::vector<std::vector<std::optional<std::string>>> rows;

  bool Succeeded() const { return effect == outcome::kAccepted; }
  /// The first cell; empty if there is none.
  std::string Value() const;
};

/// Where and as whom to connect.
struct link_options {
  std::string target;  ///< "host:port".
  std::string service;
  std::string name;     ///< Reported as application_name.
  std::string options;  ///< As libpq's "options": "-c name=value ...".
  std::chrono::milliseconds timeout{15'000};
};

/// One connection; made when first used and again after it broke.
class link {
 public:
  explicit link(link_options options) : options_(std::move(options)) {}

  /// Runs a query; connects first if need be.
  reply Run(const std::string& text);

  /// A parameter that the server reported; empty if it has not.
  std::string Parameter(const char* name) const;

  /// True while connected.
  bool Open() const { return connection_ != nullptr; }
  void Close() { connection_.reset(); }

 private:
  struct closer {
    void operator()(PGconn* connection) const { PQfinish(connection); }
  };
  struct clearer {
    void operator()(PGresult* result) const { PQclear(result); }
  };
  using result_handle = std::unique_ptr<PGresult, clearer>;

  bool Connect();
  bool WaitForAnswer(std::chrono::steady_clock::time_point deadline);
  reply Lost(const char* why);
  static void Take(reply& into, const PGresult* result);

  link_options options_;
  std::unique_ptr<PGconn, closer> connection_;
};

}  // namespace load

#endif  // MARJORAMSLIP_TOOLS_LOAD_LINK_H_
