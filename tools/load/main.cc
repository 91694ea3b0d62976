// Entry point of load: callers that write rows through instances, check what
// they are promised while they run, and judge at the end what was kept.
//
// Exit codes: 0 all promises held, 1 not all, 2 wrong usage.

#include <Poco/Exception.h>
#include <popt.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <list>
#include <sstream>
#include <thread>

#include "caller.h"
#include "judge.h"
#include "options.h"
#include "report.h"
#include "scrape.h"

namespace {

using namespace std::chrono_literals;
using load::load_options;

constexpr int kUsageExit = 2;
constexpr auto kPrepareLimit = 30s;
constexpr auto kPreparePause = 100ms;
constexpr const char* kTable =
    "CREATE TABLE IF NOT EXISTS ledger(id text primary key, caller text, "
    "seq integer, amount integer, written_us bigint)";

/// Options as popt fills them.
struct raw_options {
  const char* target = "";
  const char* metrics = "";
  const char* verify = "";
  const char* service = "tollau-ledger";
  const char* json = "";
  const char* history = "";
  const char* max_staleness = "2s";
  const char* session = "connection";
  int tenants = 4;
  int callers = 16;
  int seconds = 10;
  int timeout_ms = 15'000;
  int seed = 1;
  double rate = 0;
  double read_share = 0.9;
  double staleness_share = 0.5;
  double increment_share = 0.2;
  double transaction_share = 0.1;
  double keyed_share = 0;
  double roam = 0;
  /// The texts that popt made.
  std::list<std::string> owned = {};
};

/// Takes over a text that popt allocated.
void Own(raw_options& raw, const char*& text, const char* without_option) {
  if (text == without_option) {
    return;
  }
  raw.owned.emplace_back(text);
  std::free(const_cast<char*>(text));
  text = raw.owned.back().c_str();
}

std::vector<std::string> SplitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  std::string part;
  while (std::getline(in, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

/// Reads "500ms" or "2s"; empty if malformed.
std::optional<std::chrono::milliseconds> ParseLength(const std::string& text) {
  std::istringstream in(text);
  std::int64_t number = 0;
  std::string unit;
  in >> number >> unit;
  if (number <= 0 || (unit != "ms" && unit != "s")) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(unit == "s" ? number * 1000 : number);
}

std::optional<load::session_mode> ParseSession(const std::string& text) {
  if (text == "connection") return load::session_mode::kConnection;
  if (text == "token") return load::session_mode::kToken;
  if (text == "named") return load::session_mode::kNamed;
  return std::nullopt;
}

bool ReadRaw(int argc, const char** argv, raw_options& raw) {
  const auto text = [](const char* name, const char*& into, const char* what) {
    return poptOption{name, 0, POPT_ARG_STRING, static_cast<void*>(&into), 0,
                      what, ""};
  };
  const auto number = [](const char* name, int& into, const char* what) {
    return poptOption{name, 0, POPT_ARG_INT, &into, 0, what, ""};
  };
  const auto share = [](const char* name, double& into, const char* what) {
    return poptOption{name, 0, POPT_ARG_DOUBLE, &into, 0, what, ""};
  };
  const poptOption table[] = {
      text("target", raw.target, "instances, host:port,..."),
      text("metrics", raw.metrics, "their metrics, host:port,..."),
      text("verify", raw.verify, "database to judge by, host:port"),
      text("service", raw.service, "service asked for"),
      text("json", raw.json, "file for the figures"),
      text("history", raw.history, "file for the history"),
      text("max-staleness", raw.max_staleness, "age that reads state"),
      text("session", raw.session, "connection, token or named"),
      number("tenants", raw.tenants, "number of tenants"),
      number("callers", raw.callers, "number of callers"),
      number("seconds", raw.seconds, "length of the run"),
      number("timeout-ms", raw.timeout_ms, "of an answer"),
      number("seed", raw.seed, "of the run's randomness"),
      share("rate", raw.rate, "operations a second; 0: closed loop"),
      share("read-share", raw.read_share, "share of reads"),
      share("staleness-share", raw.staleness_share, "of reads, with an age"),
      share("increment-share", raw.increment_share, "of writes"),
      share("transaction-share", raw.transaction_share, "of writes"),
      share("keyed-share", raw.keyed_share, "of writes, with a request id"),
      share("roam", raw.roam, "chance to switch instance"),
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("load", argc, argv, table, 0);
  const int code = poptGetNextOpt(context);
  if (code < -1) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(code)
              << "\n";
  }
  poptFreeContext(context);
  const raw_options plain;
  for (const char* raw_options::*each :
       {&raw_options::target, &raw_options::metrics, &raw_options::verify,
        &raw_options::service, &raw_options::json, &raw_options::history,
        &raw_options::max_staleness, &raw_options::session}) {
    Own(raw, raw.*each, plain.*each);
  }
  return code == -1;
}

std::optional<load_options> ReadOptions(int argc, const char** argv) {
  raw_options raw;
  if (!ReadRaw(argc, argv, raw)) {
    return std::nullopt;
  }
  const auto age = ParseLength(raw.max_staleness);
  const auto session = ParseSession(raw.session);
  load_options options;
  options.targets = SplitAtCommas(raw.target);
  const bool counts = raw.tenants > 0 && raw.callers >= raw.tenants &&
                      raw.seconds > 0 && raw.timeout_ms > 0;
  if (!age || !session || !counts || options.targets.empty()) {
    std::cerr << "wrong usage: --target is needed, counts must be positive, "
                 "callers at least tenants, ages like 500ms or 2s\n";
    return std::nullopt;
  }
  options.metrics = SplitAtCommas(raw.metrics);
  options.verify = raw.verify;
  options.service = raw.service;
  options.json_file = raw.json;
  options.history_file = raw.history;
  options.tenants = static_cast<std::uint32_t>(raw.tenants);
  options.callers = static_cast<std::uint32_t>(raw.callers);
  options.rate = raw.rate;
  options.length = std::chrono::seconds(raw.seconds);
  options.read_share = raw.read_share;
  options.staleness_share = raw.staleness_share;
  options.increment_share = raw.increment_share;
  options.transaction_share = raw.transaction_share;
  options.keyed_share = raw.keyed_share;
  options.max_staleness = *age;
  options.timeout = std::chrono::milliseconds(raw.timeout_ms);
  options.session = *session;
  options.roam = raw.roam;
  options.seed = static_cast<std::uint64_t>(raw.seed);
  return options;
}

/// Creates the table for each tenant; false if that was not possible in time.
bool Prepare(const load_options& options) {
  const auto limit = std::chrono::steady_clock::now() + kPrepareLimit;
  for (std::size_t tenant = 0; tenant < options.tenants; ++tenant) {
    load::reply answer;
    std::size_t next = 0;
    do {
      const std::string& target =
          options.targets[next++ % options.targets.size()];
      load::link connection(load::LinkOptions(
          options, target, load::TenantOf(options, tenant), "load"));
      answer = connection.Run(kTable);
      if (answer.Succeeded()) {
        break;
      }
      std::this_thread::sleep_for(kPreparePause);
    } while (std::chrono::steady_clock::now() < limit);
    if (!answer.Succeeded()) {
      std::cerr << "could not create the table: " << answer.sqlstate << " "
                << answer.message << "\n";
      return false;
    }
  }
  return true;
}

/// A name that no other run has.
std::string RunName() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  std::ostringstream out;
  out << "run" << std::hex
      << std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  return out.str();
}

std::vector<load::caller_history> RunCallers(load::shared_run& run) {
  std::vector<load::caller> callers;
  callers.reserve(run.options.callers);
  for (std::size_t index = 0; index < run.options.callers; ++index) {
    callers.emplace_back(run, index);
  }
  {
    std::vector<std::jthread> threads;
    threads.reserve(callers.size());
    for (load::caller& each : callers) {
      threads.emplace_back([&each] { each.Run(); });
    }
  }
  std::vector<load::caller_history> histories;
  histories.reserve(callers.size());
  for (load::caller& each : callers) {
    histories.push_back(std::move(each.History()));
  }
  return histories;
}

std::optional<double> ShareOf(const std::optional<load::served_reads>& before,
                              const std::optional<load::served_reads>& after) {
  if (!before || !after) {
    return std::nullopt;
  }
  const double replica = after->replica - before->replica;
  const double all = replica + after->primary - before->primary;
  return all > 0 ? std::optional(replica / all) : std::nullopt;
}

int Run(const load_options& options) {
  if (!Prepare(options)) {
    return 1;
  }
  const auto before = load::ScrapeServedReads(options.metrics);
  const auto start = std::chrono::steady_clock::now();
  load::shared_run run{options, load::write_board(options.callers), RunName(),
                       start, start + options.length};
  std::cout << "started " << run.name << std::endl;
  const auto histories = RunCallers(run);
  const auto end = std::max(run.end, std::chrono::steady_clock::now());
  load::run_figures figures = load::SumUp(histories, start, end);
  figures.replica_share =
      ShareOf(before, load::ScrapeServedReads(options.metrics));
  figures.verdicts = load::JudgeAll(options, histories);
  load::PrintTable(std::cout, figures);
  bool saved = true;
  if (!options.json_file.empty()) {
    saved = load::SaveJson(options.json_file, figures);
  }
  if (!options.history_file.empty()) {
    saved = load::SaveHistory(options.history_file, histories, start) && saved;
  }
  if (!saved) {
    std::cerr << "could not write the files\n";
  }
  return figures.verdicts.Held() && saved ? 0 : 1;
}

}  // namespace

int main(int argc, const char** argv) {
  const auto options = ReadOptions(argc, argv);
  if (!options) {
    return kUsageExit;
  }
  try {
    return Run(*options);
  } catch (const Poco::Exception& error) {
    std::cerr << error.displayText() << "\n";
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  return 1;
}
