// Pulls and their text form:
//   pull TERM FRESH POSITION LAG_MS COUNT (TERM START)*
//   log SERVES TERM POSITION COMMON COUNT (TERM START)* COUNT
// followed by the entries: TERM COMMITTED_MS COUNT, then for each statement
// its length on a line and its bytes.

#include "replication.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <iostream>
#include <sstream>
#include <thread>

namespace standin {

namespace {

using namespace std::chrono_literals;

constexpr auto kPullInterval = 3ms;
constexpr auto kFreshInterval = 30ms;
constexpr auto kCutInterval = 20ms;
constexpr auto kConnectTimeout = 300ms;
constexpr auto kAnswerTimeout = 500ms;

void WriteStarts(std::ostream& out, const std::vector<term_start>& starts) {
  out << ' ' << starts.size();
  for (const term_start& each : starts) {
    out << ' ' << each.term << ' ' << each.start;
  }
}

std::vector<term_start> ReadStarts(std::istream& in) {
  std::size_t count = 0;
  in >> count;
  std::vector<term_start> starts;
  for (std::size_t index = 0; index < count && in; ++index) {
    term_start& each = starts.emplace_back();
    in >> each.term >> each.start;
  }
  return starts;
}

std::string WriteRequest(const pull_request& request) {
  std::ostringstream out;
  out << "pull " << request.term << ' ' << request.fresh << ' '
      << request.position << ' ' << request.lag.count();
  WriteStarts(out, request.starts);
  out << '\n';
  return out.str();
}

pull_request ReadRequest(const std::string& line) {
  std::istringstream in(line);
  std::string word;
  pull_request request;
  std::int64_t lag = 0;
  in >> word >> request.term >> request.fresh >> request.position >> lag;
  request.lag = std::chrono::milliseconds(lag);
  request.starts = ReadStarts(in);
  if (word != "pull" || !in) {
    throw Poco::DataFormatException("malformed pull");
  }
  return request;
}

std::string WriteAnswer(const pull_answer& answer) {
  std::ostringstream out;
  out << "log " << answer.serves << ' ' << answer.term << ' ' << answer.position
      << ' ' << answer.common;
  WriteStarts(out, answer.starts);
  out << ' ' << answer.entries.size() << '\n';
  for (const log_entry& entry : answer.entries) {
    out << entry.term << ' ' << entry.committed.time_since_epoch().count()
        << ' ' << entry.statements.size() << '\n';
    for (const std::string& text : entry.statements) {
      out << text.size() << '\n' << text;
    }
  }
  return out.str();
}

log_entry ReadEntry(line_socket& link) {
  std::istringstream in(link.ReadLine());
  log_entry entry;
  std::int64_t committed = 0;
  std::size_t count = 0;
  in >> entry.term >> committed >> count;
  entry.committed = wall_time(std::chrono::milliseconds(committed));
  for (std::size_t index = 0; index < count; ++index) {
    const std::size_t length = std::stoull(link.ReadLine());
    entry.statements.push_back(link.ReadBytes(length));
  }
  return entry;
}

pull_answer ReadAnswer(line_socket& link) {
  std::istringstream in(link.ReadLine());
  std::string word;
  pull_answer answer;
  in >> word >> answer.serves >> answer.term >> answer.position >>
      answer.common;
  answer.starts = ReadStarts(in);
  std::size_t count = 0;
  in >> count;
  if (word != "log" || !in) {
    throw Poco::DataFormatException("malformed answer to a pull");
  }
  for (std::size_t index = 0; index < count; ++index) {
    answer.entries.push_back(ReadEntry(link));
  }
  return answer;
}

/// The startup message that asks for a connection for replication.
std::string ReplicationStartup() {
  std::string body;
  for (const char* text : {"user", "standin", kReplicationParameter, "on"}) {
    body += text;
    body += '\0';
  }
  body += '\0';
  constexpr unsigned int kVersion = 196608;  // 3.0
  const auto length = static_cast<unsigned int>(body.size() + 8);
  std::string out;
  for (const unsigned int value : {length, kVersion}) {
    for (int shift = 24; shift >= 0; shift -= 8) {
      out += static_cast<char>((value >> static_cast<unsigned>(shift)) & 255U);
    }
  }
  return out + body;
}

}  // namespace

void ServePulls(const Poco::Net::StreamSocket& socket, database& state,
                const link_faults& faults) {
  line_socket link(socket);
  link.Write("ready\n");
  while (true) {
    const pull_request request = ReadRequest(link.ReadLine());
    faults.WaitWhileFrozen();
    if (faults.PeersCut()) {
      return;
    }
    const pull_answer answer = state.Serve(request);
    link.Write(WriteAnswer(answer));
  }
}

replicator::replicator(database& state, const link_faults& faults,
                       const std::vector<std::string>& peers)
    : state_(state), faults_(faults) {
  for (const std::string& each : peers) {
    peers_.push_back({Poco::Net::SocketAddress(each), nullptr});
  }
}

void replicator::Run() {
  while (!peers_.empty()) {
    faults_.WaitWhileFrozen();
    std::optional<pull_request> request = state_.NextPull();
    if (!request || faults_.PeersCut()) {
      std::this_thread::sleep_for(kCutInterval);
      continue;
    }
    request->lag = faults_.Lag();
    if (request->fresh) {
      PullFromHighest(*request);
      std::this_thread::sleep_for(kFreshInterval);
    } else {
      PullFromSource(*request);
      std::this_thread::sleep_for(kPullInterval);
    }
  }
}

void replicator::PullFromSource(const pull_request& request) {
  const auto answer = Ask(peers_[source_], request);
  if (answer && answer->serves && !faults_.PeersCut()) {
    state_.Apply(request, *answer);
    return;
  }
  source_ = (source_ + 1) % peers_.size();
}

// A database that has lost its data may have been moved to a term that it no
// longer knows. It takes a term only after a majority of its group, itself
// left out, has answered, and none of a higher term.
void replicator::PullFromHighest(const pull_request& request) {
  const std::size_t majority = (peers_.size() + 1) / 2 + 1;
  std::size_t answered = 0;
  std::optional<pull_answer> best;
  std::uint64_t highest = 0;
  for (peer& each : peers_) {
    const auto answer = Ask(each, request);
    if (!answer) {
      continue;
    }
    ++answered;
    highest = std::max(highest, answer->term);
    const bool better = !best || best->term < answer->term;
    if (answer->serves && better) {
      best = answer;
    }
  }
  const bool enough = answered >= std::min(majority, peers_.size());
  if (enough && best && best->term == highest && !faults_.PeersCut()) {
    state_.Apply(request, *best);
  }
}

std::optional<pull_answer> replicator::Ask(peer& from,
                                           const pull_request& request) {
  try {
    if (!from.link) {
      Poco::Net::StreamSocket socket;
      socket.connect(from.address, ToTimespan(kConnectTimeout));
      socket.setReceiveTimeout(ToTimespan(kAnswerTimeout));
      socket.setNoDelay(true);
      from.link = std::make_unique<line_socket>(socket);
      from.link->Write(ReplicationStartup());
      from.link->ReadLine();
    }
    from.link->Write(WriteRequest(request));
    return ReadAnswer(*from.link);
  } catch (const Poco::Exception&) {
    from.link.reset();
  } catch (const std::exception& error) {
    std::cerr << "pull failed: " << error.what() << std::endl;
    from.link.reset();
  }
  return std::nullopt;
}

}  // namespace standin
