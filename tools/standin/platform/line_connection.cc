// What a database of the platform answers.

#include "line_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <thread>
#include <utility>

#include "../line_socket.h"

namespace standin {

namespace {

using namespace std::chrono_literals;

constexpr int kReceiveBytes = 4096;
constexpr std::size_t kMaxLine = 1U << 20U;
constexpr auto kPoll = 20ms;
constexpr auto kRepeatPoll = 1ms;
constexpr std::string_view kLineEnd = "\r\n";
constexpr auto kStatusWork = 500us;

std::uint64_t NumberOf(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

/// The words of a line; the last one wanted takes the rest.
std::vector<std::string> SplitWords(const std::string& line, std::size_t most) {
  std::vector<std::string> words;
  std::size_t from = 0;
  while (words.size() + 1 < most) {
    const std::size_t blank = line.find(' ', from);
    if (blank == std::string::npos) {
      break;
    }
    words.push_back(line.substr(from, blank - from));
    from = blank + 1;
  }
  words.push_back(line.substr(from));
  return words;
}

}  // namespace

line_connection::line_connection(const Poco::Net::StreamSocket& socket,
                                 line_server& owner)
    : TCPServerConnection(socket), owner_(owner), epoch_(owner.Epoch()) {
  ++owner_.Open();
}

line_connection::~line_connection() { --owner_.Open(); }

void line_connection::run() {
  try {
    socket().setNoDelay(true);
    const auto first = ReadLine();
    if (!first || !StartUp(*first)) {
      return;
    }
    while (const auto line = ReadLine()) {
      const std::vector<std::string> words = SplitWords(*line, 3);
      if (words[0] == "QUIT") {
        return;
      }
      if (words[0] != "QUERY" || words.size() != 3) {
        Send("ERR BADMSG " + owner_.Options().id + "\r\n");
        return;
      }
      Query(words[1], words[2]);
    }
  } catch (const Poco::Exception&) {
    // The other side has gone; a transaction that was open is rolled back.
  }
}

bool line_connection::Over() const { return owner_.Epoch() != epoch_; }

std::optional<std::string> line_connection::ReadLine() {
  while (true) {
    const std::size_t end = buffer_.find(kLineEnd);
    if (end != std::string::npos) {
      std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + kLineEnd.size());
      return line;
    }
    SendRepeats();
    if (Over() || buffer_.size() > kMaxLine) {
      return std::nullopt;
    }
    if (!socket().poll(ToTimespan(repeats_.empty() ? kPoll : kRepeatPoll),
                       Poco::Net::Socket::SELECT_READ)) {
      continue;
    }
    char bytes[kReceiveBytes];
    const int got = socket().receiveBytes(bytes, sizeof bytes);
    if (got <= 0) {
      return std::nullopt;
    }
    buffer_.append(bytes, static_cast<std::size_t>(got));
  }
}

void line_connection::Send(const std::string& text) {
  while (owner_.Dark() && !Over()) {
    std::this_thread::sleep_for(20ms);
  }
  if (!Over()) {
    socket().sendBytes(text.data(), static_cast<int>(text.size()));
  }
}

void line_connection::SendAnswer() {
  SendRepeats();
  const std::string answer = std::exchange(answer_, {});
  Send(answer);
  if (const auto again = owner_.Faults().Draw()) {
    repeats_.push_back(
        {std::chrono::steady_clock::now() + again->late, again->pause, answer});
  }
}

void line_connection::SendRepeats() {
  const auto now = std::chrono::steady_clock::now();
  const auto due =
      std::stable_partition(repeats_.begin(), repeats_.end(),
                            [now](const repeat& one) { return one.due > now; });
  for (auto one = due; one != repeats_.end(); ++one) {
    const std::size_t half =
        one->pause.count() > 0 ? one->answer.size() / 2 : one->answer.size();
    Send(one->answer.substr(0, half));
    std::this_thread::sleep_for(one->pause);
    Send(one->answer.substr(half));
    owner_.Faults().Count();
  }
  repeats_.erase(due, repeats_.end());
}

bool line_connection::StartUp(const std::string& line) {
  const std::vector<std::string> words = SplitWords(line, 4);
  const bool named = words.size() >= 3 && words[0] == "STARTUP" &&
                     words[1] == owner_.Options().service;
  if (!named || (words.size() == 4 && words[3] != owner_.Options().id)) {
    Send("ERR MISROUTED " + owner_.Options().id + "\r\n");
    return false;
  }
  if (owner_.Open() > owner_.Options().connections) {
    Send("ERR TOOMANY " + owner_.Options().id + "\r\n");
    return false;
  }
  if (!Work(owner_.Options().connect)) {
    return false;
  }
  client_ = words[2];
  Ready();
  return true;
}

void line_connection::Query(const std::string& id, const std::string& text) {
  const bool ends = text == "ROLLBACK" || text == "COMMIT";
  const bool refused = id != "-" && !ends && owner_.Faults().DrawRefusal();
  const std::optional<std::string> done =
      state_ == state::kFailed && !ends
          ? Refuse("BADMSG", "the transaction has failed")
      : refused ? Refuse("BUSY", owner_.Options().id)
                : Run(id, text);
  if (done) {
    answer_ += "DONE " + *done + "\r\n";
  } else if (state_ == state::kOpen) {
    state_ = state::kFailed;
  }
  Ready();
}

std::optional<std::string> line_connection::Run(const std::string& id,
                                                const std::string& text) {
  std::vector<std::string> words = SplitWords(text, 4);
  std::string plain = text;
  if (words[0] == "AFTER" && words.size() >= 3) {
    const auto position = ParseLinePosition(words[1]);
    if (!position || !owner_.Group().Holds(owner_.Index(), *position)) {
      return Refuse("LAGGING", owner_.Options().id);
    }
    plain = text.substr(words[0].size() + words[1].size() + 2);
    words = SplitWords(plain, 4);
  }
  return RunPlain(id, words, plain);
}

std::optional<std::string> line_connection::RunPlain(
    const std::string& id, const std::vector<std::string>& words,
    const std::string& text) {
  const std::string& what = words[0];
  if (what == "BEGIN") {
    return Begin(words.size() > 1 && words[1] == "READ");
  }
  if (what == "COMMIT" || what == "ROLLBACK") {
    return End(id, what == "COMMIT");
  }
  if (what == "READ" && words.size() == 2) {
    return Read(id, text, words[1]);
  }
  if (what == "WRITE" && words.size() >= 3) {
    return Write(id, text, words[1], SplitWords(text, 3)[2]);
  }
  if (what == "SET" && words.size() >= 3) {
    values_[words[1]] = SplitWords(text, 3)[2];
    return "-";
  }
  if (what == "PREPARE" && words.size() == 4) {
    prepared_[words[1]] = {words[2] == "WRITE", words[3]};
    return "-";
  }
  if (what == "EXEC" && words.size() >= 3) {
    return RunPrepared(id, text);
  }
  if (what == "DEALLOC" && words.size() == 2) {
    prepared_.erase(words[1]);
    return "-";
  }
  return Order(words);
}

std::optional<std::string> line_connection::RunPrepared(
    const std::string& id, const std::string& text) {
  const std::vector<std::string> words = SplitWords(text, 4);
  const auto known = prepared_.find(words[1]);
  if (known == prepared_.end()) {
    return Refuse("NOSTMT", words[1]);
  }
  return known->second.writes
             ? Write(id, text, words[2], words.size() > 3 ? words[3] : "")
             : Read(id, text, words[2]);
}

std::optional<std::string> line_connection::Order(
    const std::vector<std::string>& words) {
  const std::uint64_t term = words.size() > 1 ? NumberOf(words[1]) : 0;
  if (words[0] == "RESET") {
    values_.clear();
    prepared_.clear();
    return "-";
  }
  if (words[0] == "PAUSE") {
    owner_.Group().Pause(owner_.Index(), term);
  } else if (words[0] == "RESUME") {
    owner_.Group().Resume(owner_.Index());
  } else if (words[0] == "STEPDOWN") {
    owner_.Group().StepDown(owner_.Index(), term);
  } else if (words[0] != "STATUS") {
    return Refuse("BADMSG", "unknown statement");
  }
  return Status();
}

std::optional<std::string> line_connection::Status() {
  if (!Work(kStatusWork)) {
    return std::nullopt;
  }
  const line_state said = owner_.State();
  answer_ += "ROW " + std::string(said.primary ? "primary " : "replica ") +
             std::to_string(said.held.term) + " " + said.received.Text() + " " +
             std::to_string(said.paused) + " " +
             std::to_string(said.lag.count()) + " " +
             std::to_string(owner_.Busy()) + " " +
             std::to_string(owner_.Open()) + "\r\n";
  return "-";
}

std::optional<std::string> line_connection::Begin(bool read_only) {
  if (state_ != state::kIdle) {
    return Refuse("BADMSG", "a transaction is open");
  }
  if (!read_only && !owner_.State().primary) {
    return Refuse("READONLY", owner_.Options().id);
  }
  state_ = state::kOpen;
  read_only_ = read_only;
  term_ = owner_.State().held.term;
  return "-";
}

std::optional<std::string> line_connection::End(const std::string& id,
                                                bool commit) {
  const state before = std::exchange(state_, state::kIdle);
  const line_writes writes = std::exchange(writes_, {});
  std::vector<statement_run> runs = std::exchange(runs_, {});
  if (before == state::kIdle) {
    return Refuse("BADMSG", "no transaction is open");
  }
  if (!commit || before == state::kFailed) {
    return "-";
  }
  if (!Work(owner_.Options().work)) {
    return std::nullopt;
  }
  if (!writes.empty() &&
      !owner_.Group().Commit(owner_.Index(), term_, writes)) {
    return Refuse("READONLY", owner_.Options().id);
  }
  for (statement_run& one : runs) {
    owner_.Journal().Add(std::move(one));
  }
  Note(id, "COMMIT", true);
  return "s." + id;
}

std::optional<std::string> line_connection::Read(const std::string& id,
                                                 const std::string& text,
                                                 const std::string& item) {
  if (state_ == state::kOpen && !read_only_ && !Leads()) {
    return Refuse("READONLY", owner_.Options().id);
  }
  if (!Work(owner_.Options().work)) {
    return std::nullopt;
  }
  std::string value = owner_.Group().Read(owner_.Index(), item);
  for (const auto& [written, data] : writes_) {
    value = written == item ? data : value;
  }
  Note(id, text, state_ == state::kIdle);
  answer_ += "ROW " + value + "\r\n";
  return "s." + id;
}

std::optional<std::string> line_connection::Write(const std::string& id,
                                                  const std::string& text,
                                                  const std::string& item,
                                                  const std::string& data) {
  const bool alone = state_ == state::kIdle;
  if ((!alone && read_only_) || !owner_.State().primary ||
      (!alone && !Leads())) {
    return Refuse("READONLY", owner_.Options().id);
  }
  const std::uint64_t term = owner_.State().held.term;
  if (!Work(owner_.Options().work)) {
    return std::nullopt;
  }
  if (!alone) {
    writes_.emplace_back(item, data);
  } else if (!owner_.Group().Commit(owner_.Index(), term, {{item, data}})) {
    return Refuse("READONLY", owner_.Options().id);
  }
  Note(id, text, alone);
  return "s." + id;
}

std::optional<std::string> line_connection::Refuse(const std::string& code,
                                                   const std::string& text) {
  answer_ += "ERR " + code + " " + text + "\r\n";
  return std::nullopt;
}

bool line_connection::Leads() const {
  const line_state now = owner_.State();
  return now.primary && now.held.term == term_;
}

bool line_connection::Work(std::chrono::microseconds time) {
  const std::atomic<bool> never = false;
  if (!owner_.Slots().Take(never)) {
    return false;
  }
  const held_unit slot(owner_.Slots());
  ++owner_.Busy();
  std::this_thread::sleep_for(time);
  --owner_.Busy();
  return !Over();
}

void line_connection::Ready() {
  constexpr char kStates[] = {'I', 'T', 'E'};
  answer_ += std::string("READY ") + kStates[static_cast<int>(state_)] + " " +
             owner_.State().held.Text() + "\r\n";
  SendAnswer();
}

void line_connection::Note(const std::string& id, const std::string& text,
                           bool committed) {
  statement_run run{id, text, owner_.Options().id, Owner(), client_};
  if (committed) {
    owner_.Journal().Add(std::move(run));
  } else {
    runs_.push_back(std::move(run));
  }
}

std::string line_connection::Owner() const {
  std::string text;
  for (const auto& [name, value] : values_) {
    text.append(text.empty() ? "" : " ").append(name);
    text.append("=").append(value);
  }
  return text;
}

}  // namespace standin
