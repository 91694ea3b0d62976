// What each command does, with examples.

#include <array>
#include <utility>

#include "commands.h"

namespace marjoramslip::cli {
namespace {

constexpr std::string_view kProgram =
    R"(marjoramslip: a database proxy with session consistency

  marjoramslip serve    run an instance
  marjoramslip check    check settings or a release note
  marjoramslip check-configuration
                        check what is to be put in force, and what it changes
  marjoramslip note     apply, show and compare release notes
  marjoramslip status   what instances are doing
  marjoramslip promote  change a group's primary as planned
  marjoramslip help COMMAND
  marjoramslip --version

Exit codes: 0 done, 1 refused or conflict, 2 bad input or usage, 3 outcome
unknown. Those of check-configuration are its own.
)";

constexpr std::string_view kServe =
    R"(marjoramslip serve --config FILE
Runs an instance until SIGTERM or SIGINT, then finishes what is in progress.

  marjoramslip serve --config examples/cyd-gwirod.settings.json
)";

constexpr std::string_view kCheck =
    R"(marjoramslip check --config FILE | --note FILE
Checks a file whole and names every fault with its path. Exit codes: 0 sound,
2 faulty.

  marjoramslip check --config examples/cyd-gwirod.settings.json
  marjoramslip check --note examples/cyd-gwirod.note.json
)";

constexpr std::string_view kCheckConfiguration =
    R"(marjoramslip check-configuration FILE [--in-force FILE|URL]
    [--prefix PREFIX] [--json]
Checks a release note, or a configuration of the platform: errors, entries that
can never take effect, limits that contradict each other, and, with --in-force,
what changes. URL is "http://host:port" of the store: of the key-value service
for a release note (its keys begin with PREFIX), of the platform's store for a
configuration. Keys of accounts are never shown. Exit codes: 0 clean, 1
warnings, 2 errors, also if something cannot be read.

  marjoramslip check-configuration examples/tadamun.note.json
  marjoramslip check-configuration next.json --in-force http://127.0.0.1:2379
  marjoramslip check-configuration next.json --in-force now.json --json
)";

constexpr std::string_view kNote =
    R"(marjoramslip note apply FILE [--token TEXT]
marjoramslip note show [REVISION]
marjoramslip note diff FILE | FROM TO
marjoramslip note history
with --config FILE, or --kv URL (several times for several addresses) and
--prefix PREFIX.

apply accepts a note if its base is the newest revision. Exit code 1 says that
nothing was changed. Exit code 3 says that the note may have been accepted:
apply it again with the token that was told, it is never accepted twice.
show prints the services at a revision, the newest if none is named.
diff tells what a note would change, or what changed between two revisions.
history lists the accepted notes.

  marjoramslip note diff new.json --config settings.json
  marjoramslip note apply new.json --config settings.json
  marjoramslip note apply new.json --kv http://127.0.0.1:2379 --token T
  marjoramslip note diff 3 5 --kv http://127.0.0.1:2379 --prefix /tadamun/
)";

constexpr std::string_view kStatus =
    R"(marjoramslip status [--json] --address HOST:PORT...
Tells what instances are doing. The addresses are those of their metrics.
Exit code 1 if one of them does not answer.

  marjoramslip status --address 127.0.0.1:6434 --address 127.0.0.1:7434
  marjoramslip status --json --address 127.0.0.1:6434
)";

constexpr std::string_view kPromote =
    R"(marjoramslip promote GROUP [ENDPOINT]
with --config FILE, or --kv URL and --prefix PREFIX.

Asks for a change of primary that loses nothing, and waits for it. Without
ENDPOINT the instances choose. Exit codes: 0 another term is open, 1 refused
or given up, the old primary goes on, 3 not settled within 30 seconds.

  marjoramslip promote tollau-1 --config settings.json
  marjoramslip promote tollau-1 tollau-1-b --kv http://127.0.0.1:2379
)";

}  // namespace

std::string_view HelpFor(std::string_view command) {
  constexpr std::array<std::pair<std::string_view, std::string_view>, 6> kTexts{
      {{"serve", kServe},
       {"check", kCheck},
       {"check-configuration", kCheckConfiguration},
       {"note", kNote},
       {"status", kStatus},
       {"promote", kPromote}}};
  for (const auto& [name, text] : kTexts) {
    if (name == command) {
      return text;
    }
  }
  return kProgram;
}

}  // namespace marjoramslip::cli
