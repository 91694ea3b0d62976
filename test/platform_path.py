#!/usr/bin/env python3
"""The whole path on the platform's stand-in: sessions, failures, shutdown.

Every scenario starts real processes of its own.

Usage: platform_path.py [--build FOLDER] [--list] [SCENARIO...]
"""

import os
import signal
import socket
import sys
import time

sys.dont_write_bytecode = True

from cluster_of_processes import ClusterError, wait_until  # noqa: E402
from line_client import Refused, Session  # noqa: E402
from platform_cluster import (  # noqa: E402
    BOUNDED, LEAVING_S, OWN_WRITES, PRIMARY, PlatformCluster, configuration, route,
    run_scenario)
from scenarios import run_chosen  # noqa: E402

WRITE_LIMIT_S = 20
# A configuration is in force everywhere this long after its acceptance.
IN_FORCE_S = 3.0
# A client that never reads asks so often for an answer of this size, and may
# cost this much: a few of its answers, not all of them.
LARGE_BYTES = 500_000
ASKED_IN_VAIN = 200
GROWTH_LIMIT_MB = 16
# Lines about requests that callers left fill a pipe within some seconds.
UNREAD_S = 12
# Builds with the address sanitizer hold freed memory back; this bounds how much.
SANITIZER_OPTIONS = "quarantine_size_mb=4"
# Refusals after which nothing of the attempt is kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}


def expect(holds, what):
    if not holds:
        raise ClusterError(what)


def code_of(action):
    """The code of a refusal, or 'served'."""
    try:
        action()
        return "served"
    except Refused as refused:
        return refused.code


def write(instance, number):
    """Writes one item; 'accepted', 'refused' as not run, or 'unknown'."""
    try:
        with Session(instance.address, PRIMARY, timeout=3.0) as session:
            session.ask(f"WRITE item-{number} value-{number}")
        return "accepted"
    except Refused as refused:
        return "refused" if refused.code in PROMISES else "unknown"
    except OSError:
        return "unknown"


def write_until_accepted(cluster, first, count):
    """Writes until `count` were accepted; the verdicts, by number."""
    verdicts = {}
    began = time.monotonic()
    number = first
    accepted = 0
    while accepted < count:
        expect(time.monotonic() - began < WRITE_LIMIT_S,
               f"{accepted} of {count} writes were accepted")
        verdicts[number] = write(
            cluster.instances[number % len(cluster.instances)], number)
        accepted += verdicts[number] == "accepted"
        number += 1
    return verdicts


def replaced(cluster, old):
    """True once another database is the primary, of a later term."""
    new = cluster.platform.primary()
    return new and new["id"] != old["id"] and new["term"] > old["term"]


def judge(cluster, verdicts):
    """Accepted writes ran once and are kept; refused ones did not run."""
    ran = [each["text"] for each in cluster.platform.runs()]
    with Session(cluster.instances[0].address, PRIMARY) as session:
        for number, verdict in verdicts.items():
            text = f"WRITE item-{number} value-{number}"
            expect(ran.count(text) <= 1, f"'{text}' ran more than once")
            if verdict == "accepted":
                expect(session.read(f"item-{number}") == f"value-{number}",
                       f"'{text}' was accepted and is not kept")
            if verdict == "refused":
                expect(text not in ran, f"'{text}' was refused and ran")


def sessions(cluster):
    """Sessions read what they wrote, through whichever instance."""
    first, second = cluster.instances
    for number in range(20):
        with Session(first.address, OWN_WRITES) as session:
            session.ask(f"WRITE own-{number} {number}")
            expect(session.read(f"own-{number}") == str(number),
                   "a session did not read what it wrote")
        with Session(second.address, PRIMARY) as session:
            expect(session.read(f"own-{number}") == str(number),
                   "an acknowledged write was missed")
    expect(code_of(lambda: Session(first.address, "nowhere")) == "NODB",
           "a name that does not exist was served")


def session_state(cluster):
    """Values and clashing prepared names stay with their sessions."""
    address = cluster.instances[0].address
    with Session(address, PRIMARY) as one, Session(address, PRIMARY) as other:
        one.ask("SET role clerk")
        other.ask("SET role auditor")
        one.ask("PREPARE s1 WRITE q1")
        other.ask("PREPARE s1 READ q2")
        for number in range(10):
            one.ask(f"EXEC s1 kept-{number} by-clerk")
            rows, _ = other.ask(f"EXEC s1 kept-{number}")
            expect(rows == ["by-clerk"], f"read {rows}")
        other.ask("DEALLOC s1")
        expect(code_of(lambda: other.ask("EXEC s1 kept-1")) == "NOSTMT",
               "a name was known after it was dropped")
    for run in cluster.platform.runs():
        owner = "clerk" if "by-clerk" in run["text"] else "auditor"
        if "kept-" in run["text"]:
            expect(run["owner"] == f"role={owner}",
                   f"{run['text']} ran with {run['owner']}")


def transactions(cluster):
    """A transaction is one: kept whole, or not at all."""
    first, second = cluster.instances
    with Session(first.address, PRIMARY) as session:
        session.ask("BEGIN")
        session.ask("WRITE pair-a 1")
        expect(session.read("pair-a") == "1", "it does not see its own write")
        with Session(second.address, PRIMARY) as other:
            expect(other.read("pair-a") == "", "another saw it too early")
        session.ask("WRITE pair-b 2")
        session.ask("COMMIT")
        expect(session.state == "I", f"state {session.state}")
        session.ask("BEGIN")
        session.ask("WRITE pair-a 9")
        session.ask("ROLLBACK")
    with Session(first.address, PRIMARY) as leaver:
        leaver.ask("BEGIN")
        leaver.ask("WRITE pair-b 9")
    with Session(second.address, PRIMARY) as other:
        expect((other.read("pair-a"), other.read("pair-b")) == ("1", "2"),
               "what was rolled back is there")


def primary_crashes(cluster):
    """Writes go on after the primary's crash, each of them once."""
    verdicts = write_until_accepted(cluster, 0, 10)
    old = cluster.platform.crash_primary()
    began = time.monotonic()
    verdicts |= write_until_accepted(cluster, len(verdicts), 1)
    print(f"    writes are accepted again {time.monotonic() - began:.2f} s "
          "after the crash")
    expect(replaced(cluster, old), "no other primary")
    verdicts |= write_until_accepted(cluster, len(verdicts), 10)
    cluster.platform.order(database=old["id"], order="start")
    verdicts |= write_until_accepted(cluster, len(verdicts), 10)
    judge(cluster, verdicts)


def primary_dark(cluster):
    """A primary that says nothing more is replaced, too."""
    verdicts = write_until_accepted(cluster, 0, 5)
    old = cluster.platform.primary()
    cluster.platform.order(database=old["id"], order="dark")
    verdicts |= write_until_accepted(cluster, len(verdicts), 5)
    expect(replaced(cluster, old), "no other primary")
    cluster.platform.order(database=old["id"], order="light")
    verdicts |= write_until_accepted(cluster, len(verdicts), 5)
    judge(cluster, verdicts)


def store_out(cluster):
    """Service goes on while the store is out; what changed follows it."""
    cluster.platform.order(mode="down")
    time.sleep(4)
    verdicts = write_until_accepted(cluster, 0, 20)
    expect(set(verdicts.values()) == {"accepted"}, f"verdicts {verdicts}")
    cluster.platform.order(mode="up")
    judge(cluster, verdicts)
    follows_configuration(cluster)
    for each in cluster.instances:
        expect(each.logged("store.lost") and len(each.logged("store.answers")) > 1,
               f"{each.name} logged neither loss nor return of the store")


def follows_configuration(cluster):
    """A name is served within the bound of its declaration."""
    more = configuration(7)
    more["routes"].append(route("late", "primary"))
    cluster.configure(more)
    accepted = time.monotonic()
    for each in cluster.instances:
        wait_until("the new name is served", lambda: code_of(
            lambda: Session(each.address, "late")) == "served", IN_FORCE_S + 2)
    spent = time.monotonic() - accepted
    expect(spent < IN_FORCE_S, f"in force after {spent:.1f} s")
    cluster.configure(configuration(8))
    time.sleep(IN_FORCE_S)
    for each in cluster.instances:
        expect(code_of(lambda: Session(each.address, "late")) == "NODB",
               "a name that was withdrawn is served")


def configuration_changes(cluster):
    """Also after the store's history was dropped, and past a malformed one."""
    cluster.configure({"version": "none"})
    for each in cluster.instances:
        wait_until("it is reported", lambda: each.logged("registry.malformed"))
    cluster.platform.order(compact=True)
    follows_configuration(cluster)


def primary_replaced(cluster):
    """A primary that is to leave hands over; no write is lost or doubled."""
    verdicts = write_until_accepted(cluster, 0, 10)
    old = cluster.platform.primary()
    cluster.platform.order(database=old["id"], order="drain")
    began = time.monotonic()
    wait_until("another primary", lambda: replaced(cluster, old), 10)
    print(f"    replaced after {time.monotonic() - began:.2f} s")
    cluster.platform.order(database=old["id"], order="crash")
    verdicts |= write_until_accepted(cluster, len(verdicts), 10)
    judge(cluster, verdicts)


def shutdown(cluster):
    """SIGTERM: not ready at once, what is open ends, then a clean end."""
    instance = cluster.instances[0]
    with Session(instance.address, PRIMARY) as session:
        session.ask("BEGIN")
        session.ask("WRITE last 1")
        os.kill(instance.pid, signal.SIGTERM)
        wait_until("it is not ready", lambda: not instance.running()
                   or not instance.ready(), 1)
        session.ask("COMMIT")
    wait_until("it ends", lambda: not instance.running(), 7)
    expect(instance.stop() == 0, "not a clean end")
    with Session(cluster.instances[1].address, PRIMARY) as session:
        expect(session.read("last") == "1", "what was committed is not there")


def bad_input(cluster):
    """Broken frames get an answer or an end, and disturb nobody."""
    address = cluster.instances[0].address
    host, port = address.rsplit(":", 1)
    for text in (b"NONSENSE\r\n", b"STARTUP\r\n", b"\0\xff\r\n",
                 b"STARTUP filing x\r\nQUERY\r\n",
                 b"STARTUP filing x\r\nQUERY 1 WHAT\r\n"):
        with socket.create_connection((host, int(port)), 5) as link:
            for byte in text:
                link.sendall(bytes([byte]))
            link.settimeout(5)
            got = link.recv(4096)
            expect(not got or b"ERR" in got or got.startswith(b"READY"),
                   f"{text} was answered with {got}")
    expect(write(cluster.instances[0], 1) == "accepted", "others are disturbed")


def odd_registry_entry(cluster):
    """An entry of another writer among those of the databases harms nothing."""
    entry = ('{"service":"ledger","addr":"%s","zone":"east","version":"v1",'
             '"slots":%s,"state":"ready","coldLeftMs":0,"dbRole":"replica",'
             '"seq":1,"born":%s%s}')
    deep = "[" * 100_000 + "]" * 100_000
    odd = [entry % ("no-such-host.invalid:80", 3, 7, ""),
           entry % ("127.0.0.1:65536", 3, 7, ""),
           entry % ("127.0.0.1:18446744073709551696", 3, 7, ""),
           entry % ("127.0.0.1:80", "1e999", 7, ""),
           entry % ("127.0.0.1:80", "9" * 100_000, 7, ""),
           entry % ("127.0.0.1:80", 3, 18446744073709551616, ""),
           entry % ("127.0.0.1:80", 3, 7, ',"more":' + deep),
           deep, "", "\u0000", '{"service":["ledger"]}']
    verdicts = {}
    for number, text in enumerate(odd):
        cluster.platform.order(put={"key": f"servers/odd-{number}",
                                    "value": text})
        began = time.monotonic()
        verdicts |= write_until_accepted(cluster, len(verdicts), 2)
        expect(time.monotonic() - began < 1.0, f"entry {number} slowed writes")
    old = cluster.platform.crash_primary()
    first = len(verdicts)
    verdicts |= write_until_accepted(cluster, first, 2)
    expect(replaced(cluster, old), "no other primary")
    follows_configuration(cluster)
    expect(all(each.running() for each in cluster.instances), "one ended")
    # A write that an instance sends before it has noticed the crash may have
    # run; each of the two can do so once.
    unsure = [number for number, verdict in verdicts.items()
              if verdict not in ("accepted", "refused")]
    expect(set(unsure) <= {first, first + 1}, f"verdicts {verdicts}")
    judge(cluster, verdicts)


def resident_mb(process):
    """Resident memory of a process."""
    for line in open(f"/proc/{process.pid}/status", encoding="ascii"):
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ClusterError("no VmRSS")


def client_that_never_reads(cluster):
    """One that asks and asks and reads nothing costs little, and nobody."""
    instance = cluster.instances[0]
    with Session(instance.address, PRIMARY) as session:
        session.ask("WRITE large " + "x" * LARGE_BYTES)
        expect(len(session.read("large")) == LARGE_BYTES, "it was cut")
        before = resident_mb(instance)
        host, port = instance.address.rsplit(":", 1)
        with socket.create_connection((host, int(port)), 5) as link:
            link.settimeout(0.2)
            link.sendall(f"STARTUP {PRIMARY} deaf\r\n".encode())
            try:
                for number in range(ASKED_IN_VAIN):
                    link.sendall(f"QUERY {number} READ large\r\n".encode())
            except OSError:
                pass  # It is not read from any more, or was closed: both do.
            for number in range(20):
                began = time.monotonic()
                expect(write(instance, number) == "accepted",
                       "others are disturbed")
                expect(time.monotonic() - began < 1, "others are held up")
            grown = resident_mb(instance) - before
            expect(grown < GROWTH_LIMIT_MB, f"it grew by {grown:.0f} MB")


def output_unread(cluster):
    """An instance whose output nobody reads serves on, and ends in time."""
    instance = cluster.instances[0]
    instance.stop_reading()
    began = time.monotonic()
    number = 0
    while time.monotonic() - began < UNREAD_S:
        number += 1
        with Session(instance.address, PRIMARY) as session:
            # It leaves without the answer.
            session.send(f"QUERY left-{number} READ left")
        if number % 20 == 0:
            expect(write(instance, number) == "accepted",
                   f"it serves no more after {time.monotonic() - began:.1f} s")
        time.sleep(0.01)
    os.kill(instance.pid, signal.SIGTERM)
    wait_until("it ends in time", lambda: not instance.running(), LEAVING_S)


SCENARIOS = [sessions, session_state, transactions, primary_crashes,
             primary_dark, store_out, configuration_changes, primary_replaced,
             shutdown, bad_input, odd_registry_entry, client_that_never_reads,
             output_unread]


def run(scenario, build):
    return run_scenario(scenario, PlatformCluster(build))


def main():
    os.environ.setdefault("ASAN_OPTIONS", SANITIZER_OPTIONS)
    return run_chosen(__doc__, SCENARIOS, run)


if __name__ == "__main__":
    sys.exit(main())
