#!/usr/bin/env python3
"""What callers see in the last moments of an instance, with real processes on
the platform's stand-in.

Usage: platform_shutdown.py [--build FOLDER] [--list] [SCENARIO...]
"""

import os
import signal
import sys
import threading
import time

sys.dont_write_bytecode = True

from cluster_of_processes import ClusterError, wait_until  # noqa: E402
from line_client import Session  # noqa: E402
from platform_cluster import (  # noqa: E402
    LEAVING_S, PRIMARY, PlatformCluster, run_scenario)
from raw_line_caller import RawCaller, answers, startup_refused  # noqa: E402
from scenarios import run_chosen  # noqa: E402

# Callers that connect before the signal and speak around the end of the drain:
# the notice to load balancers is 2.2 s.
LATE_CALLERS = 60
FIRST_LATE_S, LAST_LATE_S = 2.0, 3.2
# A transaction that keeps the drain going for so long after the notice.
HELD_S = 0.5
ANSWER_LIMIT_S = 4.0


def expect(holds, what):
    if not holds:
        raise ClusterError(what)


def terminate(instance):
    """Asks the instance to end; when."""
    os.kill(instance.pid, signal.SIGTERM)
    return time.monotonic()


def sleep_until(moment):
    time.sleep(max(0.0, moment - time.monotonic()))


def expect_clean_end(instance, asked):
    """The process ends by itself, in time, and logs no unanswered statement."""
    left = LEAVING_S - (time.monotonic() - asked)
    wait_until("it ends in time", lambda: not instance.running(), max(left, 0))
    expect(instance.stop() == 0, "not a clean end")
    cut = [line for line in instance.logged("session.cut")
           if "closed by this instance" in line["text"]]
    expect(not cut, f"{len(cut)} sessions were cut, the first: {cut[:1]}")


def fate(caller, statements):
    """What became of a startup and the statements that were sent with it."""
    if startup_refused(caller.lines):
        return "refused"
    got = answers(caller.lines)
    if got == 1 + statements:
        return "answered"
    return f"{got} of {1 + statements} answers, then {caller.end or 'silence'}"


def speak_late(instance, asked, pieces):
    """Callers that connected before the signal send a startup and a read in
    one piece, or in two; their fates and how many each had."""
    callers = [RawCaller(instance.address) for _ in range(LATE_CALLERS)]
    began = terminate(instance) if asked is None else asked
    step = (LAST_LATE_S - FIRST_LATE_S) / LATE_CALLERS
    readers = []
    for number, caller in enumerate(callers):
        sleep_until(began + FIRST_LATE_S + number * step)
        lines = ["STARTUP " + PRIMARY + " late", caller.statement("READ x")]
        if pieces == 1:
            caller.send(*lines)
        else:
            caller.send(lines[0])
            caller.send(lines[1])
        readers.append(threading.Thread(target=caller.read_until, args=(
            lambda got: answers(got) == 2 or startup_refused(got),
            ANSWER_LIMIT_S)))
        readers[-1].start()
    for reader in readers:
        reader.join()
    fates = {}
    for caller in callers:
        what = fate(caller, 1)
        fates[what] = fates.get(what, 0) + 1
        caller.close()
    return began, fates


def expect_all_answered(fates):
    print(f"    {fates}")
    expect(set(fates) <= {"answered", "refused"},
           f"startups and reads ended with {fates}")


def sessions_that_open_late(cluster):
    """Connected before SIGTERM, they speak when the last caller has gone."""
    instance = cluster.instances[0]
    began, fates = speak_late(instance, None, pieces=1)
    expect_all_answered(fates)
    expect_clean_end(instance, began)


def sessions_that_open_behind_a_transaction(cluster):
    """As above, while a transaction keeps the drain going for a while."""
    instance = cluster.instances[0]
    with Session(instance.address, PRIMARY) as session:
        session.ask("BEGIN")
        session.ask("WRITE held 1")
        asked = terminate(instance)

        def finish():
            sleep_until(asked + FIRST_LATE_S + HELD_S)
            session.ask("COMMIT")
        holder = threading.Thread(target=finish)
        holder.start()
        # The callers connect after the signal: new connections are still
        # accepted while balancers learn that the instance is not ready.
        began, fates = speak_late(instance, asked, pieces=2)
        holder.join()
    expect_all_answered(fates)
    expect_clean_end(instance, began)
    with Session(cluster.instances[1].address, PRIMARY) as session:
        expect(session.read("held") == "1", "the transaction was lost")


def silent_connections(cluster):
    """Connections that never say anything don't keep the process running."""
    instance = cluster.instances[0]
    callers = [RawCaller(instance.address) for _ in range(5)]
    began = terminate(instance)
    expect_clean_end(instance, began)
    for caller in callers:
        caller.read_until(lambda lines: False, 1.0)
        expect(caller.end == "closed", f"a silent caller saw {caller.end}")
        caller.close()


SCENARIOS = [sessions_that_open_late, sessions_that_open_behind_a_transaction,
             silent_connections]


def run(scenario, build):
    return run_scenario(scenario, PlatformCluster(build, instances=3))


def main():
    return run_chosen(__doc__, SCENARIOS, run)


if __name__ == "__main__":
    sys.exit(main())
