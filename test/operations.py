#!/usr/bin/env python3
"""The operators' run: release notes, planned changes and shutdown.

Every scenario starts real processes of its own and checks what an operator,
or a caller meanwhile, is promised.

Usage: operations.py [--build FOLDER] [--list] [SCENARIO...]
"""

import json
import os
import pathlib
import signal
import statistics
import subprocess
import sys
import time

sys.dont_write_bytecode = True

from cluster_of_processes import (  # noqa: E402
    GROUP, SERVICE, Process, fetch, wait_until)
from end_to_end import (  # noqa: E402
    LOAD_LIMIT_S, expect, longest_gap_ms, run, start_load)
from raw_caller import RawCaller, query, startup  # noqa: E402
from scenarios import run_chosen  # noqa: E402
from simple_client import Connection, QueryError  # noqa: E402

COMMAND_LIMIT_S = 60
DONE, REFUSED, UNKNOWN = 0, 1, 3
NOTES = 20
IN_FORCE_LIMIT_S = 3.0
LEAVING_LIMIT_S = 5.0
PLANNED_GAP_LIMIT_MS = 2500
ROUNDS = 5
# Callers that connect before SIGTERM, and the pause before each one speaks.
LATE_CALLERS = 20
LATE_STEP_S = 0.05
# Where nothing listens, for services that are declared only.
ABSENT_PORTS = {"left": 1, "right": 2, "fresh": 3, "changing": 4}


def command(cluster, *words):
    """The command line against the cluster's key-value service, started."""
    return subprocess.Popen(
        [cluster.build / "tools/marjoramslip", *words,
         "--kv", f"http://{cluster.kv_address}"],
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)


def finish(process):
    """Its exit code and what it said."""
    said, _ = process.communicate(timeout=COMMAND_LIMIT_S)
    return process.returncode, said


def ask(cluster, *words):
    return finish(command(cluster, *words))


def write_note(cluster, name, **note):
    file = pathlib.Path(cluster.folder) / f"{name}.json"
    file.write_text(json.dumps({"author": "desk", "summary": name, **note}))
    return file


def apply(cluster, name, **note):
    """Applies a note that must be accepted."""
    code, said = ask(cluster, "note", "apply", write_note(cluster, name, **note))
    expect(code == DONE, f"note apply: exit {code}: {said}")


def service_named(name, number):
    """A service whose databases are not there."""
    return {"name": name, "deadline": f"{1000 + number}ms", "groups": [
        {"name": f"{name}-g", "endpoints": [
            {"name": f"{name}-a", "host": "127.0.0.1",
             "port": ABSENT_PORTS[name],
             "failure_domain": "caerdydd"}]}]}


def history(cluster):
    code, said = ask(cluster, "note", "history")
    expect(code == DONE, f"note history: exit {code}: {said}")
    return said.splitlines()


def status(instance):
    return json.loads(fetch(instance.metrics, "/status"))


def revisions(cluster):
    return [status(each)["catalogue_revision"] for each in cluster.instances]


def endpoint_status(instance, name):
    return next(each for group in status(instance)["groups"]
                for each in group["endpoints"] if each["name"] == name)


def terminate(instance):
    os.kill(instance.pid, signal.SIGTERM)


def exit_code(instance):
    """Waits until it has ended by itself."""
    wait_until("it has ended", lambda: not instance.running())
    return instance.stop()


def judge_planned(running):
    """Waits for load; all promises must hold and the gap be bounded."""
    held, figures = running.finish(LOAD_LIMIT_S)
    expect(held, "load found promises broken:\n" + running.log_tail(40))
    gap = longest_gap_ms(figures)
    print(f"    {figures['verdicts']['accepted']} rows acknowledged, planned "
          f"gap {gap:.0f} ms")
    expect(gap <= PLANNED_GAP_LIMIT_MS, f"no write for {gap:.0f} ms")


def racing_operators(cluster):
    """Two operators apply different notes on the same revision at once."""
    for number in range(ROUNDS):
        base = number + 1
        files = [write_note(cluster, f"race-{base}-{who}", base=base,
                            put=[service_named(who, base)])
                 for who in ("left", "right")]
        cluster.order_kv(mode="slow", delay_ms=100)
        started = [command(cluster, "note", "apply", each) for each in files]
        ended = [finish(each) for each in started]
        cluster.order_kv(mode="up")
        codes = sorted(code for code, _ in ended)
        expect(codes == [DONE, REFUSED], f"exit codes {codes}: {ended}")
        told = next(said for code, said in ended if code == REFUSED)
        expect(f"newest revision is {base + 1}" in told, told)
        expect(len(history(cluster)) == base + 1, "a note was lost or doubled")
    wait_until("both instances have the newest revision",
               lambda: set(revisions(cluster)) == {ROUNDS + 1})
    print(f"    {ROUNDS} races, one note accepted in each")


def lost_answer(cluster):
    """Every write's answer is lost: the note is settled by reading back."""
    cluster.order_kv(mode="lose_answers")
    apply(cluster, "answer-lost", base=1, put=[service_named("fresh", 1)])
    cluster.order_kv(mode="up")
    lines = history(cluster)
    expect(len(lines) == 2 and "answer-lost" in lines[1], str(lines))


def service_hangs(cluster):
    """The service hangs at the write: unknown, then settled by the token."""
    for instance in cluster.instances:
        instance.stop()  # So that all reads counted below are the command's.
    reads = "/v3/kv/range"
    before = json.loads(fetch(cluster.kv_address, "/control/stats"))
    cluster.order_kv(mode="slow", delay_ms=300)
    file = write_note(cluster, "hung", base=1, put=[service_named("fresh", 1)])
    applying = command(cluster, "note", "apply", file)
    wait_until("both reads of the note have begun", lambda: json.loads(
        fetch(cluster.kv_address, "/control/stats")).get(reads, 0)
        == before.get(reads, 0) + 2, step=0.02)
    cluster.order_kv(mode="hang")
    code, said = finish(applying)
    cluster.order_kv(mode="up")
    expect(code == UNKNOWN, f"exit {code}: {said}")
    token = said.split("--token ")[1].split(";")[0]
    for _ in range(2):
        code, said = ask(cluster, "note", "apply", file, "--token", token)
        expect(code == DONE and "revision 2" in said, f"exit {code}: {said}")
    expect(len(history(cluster)) == 2, "the note was accepted twice")


def service_unreachable(cluster):
    """The service is down from the start: nothing was changed, and said so."""
    cluster.order_kv(mode="down")
    file = write_note(cluster, "down", base=1, put=[service_named("fresh", 1)])
    code, said = ask(cluster, "note", "apply", file)
    cluster.order_kv(mode="up")
    expect(code == REFUSED and "nothing was changed" in said, f"{code}: {said}")
    expect(len(history(cluster)) == 1, "a note was accepted")


def never_reverting(cluster):
    """The service comes back empty: the instances keep what they have."""
    apply(cluster, "second", base=1, put=[service_named("fresh", 1)])
    wait_until("revision 2", lambda: revisions(cluster) == [2, 2])
    port = cluster.kv_address.rsplit(":", 1)[1]
    cluster.kv.kill()
    cluster.kv = Process("kv-empty", [cluster.build / "tools/standin", "kv",
                                      "--port", port], cluster.folder)
    cluster.kv.announced("listening")
    wait_until("the instances reach it", lambda: all(
        status(each)["service_reachable"] for each in cluster.instances))
    apply(cluster, "older", **{**cluster.note(), "base": 0})
    wait_until("the instances are members of it", lambda: all(
        len(status(each)["members"]) == 2 for each in cluster.instances))
    time.sleep(2)
    expect(revisions(cluster) == [2, 2], f"revisions {revisions(cluster)}")
    for instance in cluster.instances:
        expect(cluster.serves(instance), f"{instance.name} does not serve")


def start_in_outage(cluster):
    """An instance starts while the service is out: its peers tell it all."""
    apply(cluster, "second", base=1, put=[service_named("fresh", 1)])
    wait_until("revision 2", lambda: set(revisions(cluster)) == {2})
    cluster.order_kv(mode="down")
    cluster.instances[0].kill()
    again = cluster.restart_instance(cluster.instances[0])
    began = time.monotonic()
    wait_until("it serves", lambda: cluster.serves(again))
    print(f"    serves {time.monotonic() - began:.1f} s after its start")
    expect(status(again)["catalogue_revision"] == 2, "an older revision")
    expect(not status(again)["service_reachable"], "the service was reached")


def notes_in_force(cluster):
    """How long it takes until a note is in force on every instance."""
    times = []
    for base in range(1, NOTES + 1):
        apply(cluster, f"note-{base}", base=base,
              put=[service_named("changing", base)])
        began = time.monotonic()
        wait_until("in force everywhere",
                   lambda: set(revisions(cluster)) == {base + 1}, step=0.002)
        times.append(time.monotonic() - began)
    print(f"    {NOTES} notes on {len(cluster.instances)} instances: p50 "
          f"{statistics.median(times) * 1000:.0f} ms, max "
          f"{max(times) * 1000:.0f} ms after acceptance")
    expect(max(times) <= IN_FORCE_LIMIT_S, "too late")


def service_withdrawn(cluster):
    """A withdrawn service is refused to new callers and to connected ones."""
    instance = cluster.instances[0]
    with Connection(instance.address, SERVICE) as connected:
        expect(connected.value("SELECT 1") == "1", "no answer")
        apply(cluster, "gone", base=1, withdraw=[SERVICE])
        wait_until("revision 2", lambda: set(revisions(cluster)) == {2})
        expect(refusal(lambda: connected.query("SELECT 1")) == "3D000",
               "a connected caller is still served")
    expect(refusal(lambda: ask_anew(instance)) == "3D000",
           "a new caller is served")
    wait_until("the group is gone", lambda: all(
        not status(each)["groups"] for each in cluster.instances))


def ask_anew(instance):
    """A new caller's first question."""
    with Connection(instance.address, SERVICE) as link:
        link.query("SELECT 1")


def refusal(action):
    """The SQLSTATE that an action ends with; empty if it succeeds."""
    try:
        action()
    except QueryError as error:
        return error.sqlstate
    return ""


def replica_leaves(cluster):
    """A replica leaves under load: it gets no new work after a short time."""
    running = start_load(cluster, 31)
    time.sleep(1)
    name = next(each.name for each in cluster.databases
                if each is not cluster.primary())
    apply(cluster, "leave", base=1, leave=[name])
    began = time.monotonic()
    wait_until("it has no work", lambda: all(
        endpoint_status(each, name)["connections"] == 0
        for each in cluster.instances), LEAVING_LIMIT_S)
    print(f"    without connections after {time.monotonic() - began:.1f} s")
    time.sleep(1)
    for instance in cluster.instances:
        expect(endpoint_status(instance, name)["connections"] == 0,
               "it got work again")
    judge_planned(running)


def primary_leaves(cluster):
    """A primary leaves under load: another takes over first."""
    running = start_load(cluster, 32)
    time.sleep(1)
    old = cluster.primary()
    apply(cluster, "leave", base=1, leave=[old.name])
    wait_until("another primary", lambda: cluster.primary() not in (None, old))
    wait_until("it has no work", lambda: all(
        endpoint_status(each, old.name)["connections"] == 0
        for each in cluster.instances))
    judge_planned(running)


def promotion(cluster):
    """An operator changes the primary under load, twice."""
    running = start_load(cluster, 33)
    time.sleep(1)
    code, said = ask(cluster, "promote", GROUP)
    expect(code == DONE and "open at term" in said, f"exit {code}: {said}")
    now = cluster.primary()
    target = next(each.name for each in cluster.databases if each is not now)
    code, said = ask(cluster, "promote", GROUP, target)
    expect(code == DONE and "open at term" in said, f"exit {code}: {said}")
    wait_until("the one that was named", lambda: (
        cluster.primary() and cluster.primary().name == target))
    code, said = ask(cluster, "promote", GROUP, target)
    expect(code == REFUSED and "already" in said, f"exit {code}: {said}")
    judge_planned(running)


def shutdown(cluster):
    """SIGTERM: a transaction commits, new callers and idle ones are ended."""
    instance = cluster.instances[0]
    with Connection(instance.address, SERVICE) as link:
        link.query("CREATE TABLE IF NOT EXISTS kept(id text primary key)")
    idle = Connection(instance.address, SERVICE)
    busy = Connection(instance.address, SERVICE)
    busy.query("BEGIN")
    busy.query("INSERT INTO kept VALUES ('one')")
    terminate(instance)
    expect(refusal(lambda: idle.query("SELECT 1")) == "57P01",
           "an idle caller is not told 57P01")
    try:
        state = refusal(lambda: ask_anew(instance))
        expect(state == "57P01", f"a new caller got '{state}'")
    except ConnectionRefusedError:
        pass
    expect(instance.running(), "it did not wait for the transaction")
    busy.query("INSERT INTO kept VALUES ('two')")
    busy.query("COMMIT")
    expect(exit_code(instance) == 0, "not a clean end")
    other = cluster.instances[1]
    with Connection(other.address, SERVICE) as link:
        expect(link.value("SELECT count(*) FROM kept") == "2", "not committed")
    wait_until("its peers know", lambda: status(other)["members"] ==
               [other.name], 2)


def late_sessions(cluster):
    """Callers that connected before SIGTERM and speak around the end of the
    drain are told that nothing ran."""
    instance = cluster.instances[0]
    early = [RawCaller(instance.address) for _ in range(LATE_CALLERS)]
    busy = Connection(instance.address, SERVICE)
    busy.query("BEGIN")
    busy.query("SELECT 1")
    terminate(instance)
    ends = []
    for number, caller in enumerate(early):
        if number == LATE_CALLERS // 2:
            busy.query("COMMIT")
        time.sleep(LATE_STEP_S)
        caller.send(startup(SERVICE) + query("SELECT 1"))
        ends.append(caller.answer())
        if ends[-1].status == "I":
            ends[-1] = caller.answer()
        caller.close()
    told = [(end.sqlstate, end.verdict) for end in ends]
    expect(told == [("57P01", "not_run")] * LATE_CALLERS, f"told {told}")
    expect(exit_code(instance) == 0, "not a clean end")
    cut = [line for line in instance.log.read_text().splitlines()
           if "session.cut" in line and "by this instance" in line]
    expect(not cut, f"sessions were cut: {cut[:3]}")


def second_signal(cluster):
    """A second signal ends the instance at once."""
    instance = cluster.instances[0]
    busy = Connection(instance.address, SERVICE)
    busy.query("BEGIN")
    busy.query("SELECT 1")
    terminate(instance)
    time.sleep(0.5)
    expect(instance.running(), "it did not wait for the transaction")
    began = time.monotonic()
    terminate(instance)
    expect(exit_code(instance) == 1, "the exit code does not tell")
    expect(time.monotonic() - began < 1, "not at once")


SCENARIOS = [racing_operators, lost_answer, service_hangs, service_unreachable,
             never_reverting, start_in_outage, notes_in_force,
             service_withdrawn, replica_leaves, primary_leaves, promotion,
             shutdown, late_sessions, second_signal]


def main():
    return run_chosen(__doc__, SCENARIOS, run)


if __name__ == "__main__":
    sys.exit(main())
