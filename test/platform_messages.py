#!/usr/bin/env python3
"""Messages that hold line ends, and databases that answer twice: each answer
is whole and its caller's own, and databases run only what was sent.

Every scenario starts real processes of its own.

Usage: platform_messages.py [--build FOLDER] [--list] [SCENARIO...]
"""

import sys
import threading

sys.dont_write_bytecode = True

from line_client import Refused, Session  # noqa: E402
from platform_carriers import (  # noqa: E402
    CONNECTIONS, INSTANCES, CarrierCluster, others, settled)
from platform_cluster import (  # noqa: E402
    PRIMARY, SERVICE, PlatformCluster, run_scenario)
from platform_path import (  # noqa: E402
    PROMISES, expect, judge, replaced, write_until_accepted)
from scenarios import run_chosen  # noqa: E402

CALLERS = 8
STATEMENTS_OF_A_CALLER = 40
REPEATED = {"share": 0.2, "least_ms": 2, "most_ms": 80}
REFUSED_SHARE = 0.2
# Fewer repeated answers than this, and a run has shown nothing.
LEAST_REPEATED = 20


class Record:
    """What callers sent and were answered, and what contradicts it."""

    def __init__(self, cluster):
        self._lock = threading.Lock()
        self._platform = cluster.platform
        self._ran_before = len(self._platform.runs())
        self.sent, self.promised, self.broken = {}, set(), []
        self.succeeded, self.failed = 0, 0

    def add(self, ident, text):
        with self._lock:
            self.sent[ident] = text

    def succeed(self, ident, text, done):
        signed = text.split(" ")[0] in ("READ", "WRITE", "EXEC", "COMMIT")
        with self._lock:
            self.succeeded += 1
            if signed and done != f"s.{ident}":
                self.broken.append(
                    f"MIXED: {text!r} ({ident}) is signed {done!r}")

    def fail(self, ident, code):
        with self._lock:
            self.failed += 1
            if code in PROMISES:
                self.promised.add(ident)

    def read(self, text, rows, written):
        if rows != [written]:
            with self._lock:
                self.broken.append(f"MIXED: {text!r} read {rows}, not {written!r}")

    def judge(self):
        """Compares what was sent with what databases ran and kept since."""
        kept = [run for run in self._platform.runs()[self._ran_before:]
                if run["id"] != "-"]
        for run in kept:
            sent = self.sent.get(run["id"])
            if sent is None or without_name(sent) != without_name(run["text"]):
                self.broken.append(f"UNASKED: sent {sent!r}, ran {run['text']!r}")
            elif run["id"] in self.promised and is_write(sent):
                self.broken.append(f"REFUSED: {sent!r} was kept")
        idents = [run["id"] for run in kept]
        self.broken += [f"TWICE: {self.sent.get(each)!r}" for each in set(idents)
                        if idents.count(each) > 1]
        print(f"    {self.succeeded} statements succeeded, {self.failed} failed, "
              f"{len(self.broken)} contradictions")
        expect(not self.broken, "; ".join(self.broken[:4]))


def without_name(text):
    """Names of prepared statements may be replaced."""
    words = text.split(" ", 2)
    return ["EXEC"] + words[2:] if words[0] == "EXEC" else text


def is_write(text):
    return text.split(" ")[0] in ("WRITE", "EXEC")


class RecordedSession(Session):
    """A session whose statements and answers are recorded."""

    def __init__(self, address, name, record):
        self.record = record
        super().__init__(address, name)

    def ask(self, text):
        ident = f"{next(self._numbers):016x}"
        self.record.add(ident, text)
        try:
            self._send(f"QUERY {ident} {text}")
            rows, done = self._answer()
        except Refused as refused:
            self.record.fail(ident, refused.code)
            raise
        except OSError:
            self.record.fail(ident, "")
            raise
        self.record.succeed(ident, text, done)
        return rows, done

    def abandon(self, text):
        """Sends a statement and does not wait for its answer."""
        ident = f"{next(self._numbers):016x}"
        self.record.add(ident, text)
        self._send(f"QUERY {ident} {text}")
        self.close()

    def write_and_read(self, write, read, data):
        """A read must return what the session has written just before."""
        self.ask(f"{write} {data}")
        rows, _ = self.ask(read)
        self.record.read(read, rows, data)


def run_callers(instances, record, work):
    """Runs `work(session, caller, step)` in several callers at a time. Callers
    whose session ends open another."""
    def call(caller):
        address = instances[caller % len(instances)].address
        session = None
        for step in range(STATEMENTS_OF_A_CALLER):
            try:
                session = session or RecordedSession(address, PRIMARY, record)
                work(session, caller, step)
            except (Refused, OSError):
                if session:
                    session.close()
                session = None
        if session:
            session.close()
    threads = [threading.Thread(target=call, args=(each,))
               for each in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    expect(record.succeeded > 0, "nothing was served")


def write_and_read(data):
    """The work of a caller that writes what `data(caller, step)` returns."""
    def work(session, caller, step):
        item = f"w{caller}x{step}"
        session.write_and_read(f"WRITE {item}", f"READ {item}",
                               data(caller, step))
    return work


def line_feeds(caller, step):
    """Data that holds line feeds, and what looks like another message."""
    return (f"a{caller}\nb{step}",
            f"c{caller}\nQUERY ffff{caller}{step} WRITE other d",
            f"e{step}\n", f"\nf{step}",
            f"g{step}\nDONE s.forged\nREADY I 1.1")[step % 5]


def plain(caller, step):
    return f"value-{caller}-{step}"


def nothing_unusual(cluster):
    """Plain messages, no answer twice: nothing else crosses answers."""
    record = Record(cluster)
    run_callers(cluster.instances, record, write_and_read(plain))
    record.judge()


def line_feeds_in_statements(cluster):
    """A message ends with CR LF only, so data may hold line feeds."""
    record = Record(cluster)

    def work(session, caller, step):
        write_and_read(line_feeds)(session, caller, step)
        session.ask("PREPARE s1 WRITE q\n1")
        session.ask(f"SET mood {line_feeds(caller, step)}")
        session.write_and_read(f"EXEC s1 p{caller}x{step}",
                               f"READ p{caller}x{step}",
                               line_feeds(caller, step))
    run_callers(cluster.instances, record, work)
    record.judge()


def line_feeds_in_rows(cluster):
    """A row that holds line feeds is one row, whatever follows them."""
    with Session(cluster.platform.primary()["addr"], SERVICE) as direct:
        for caller in range(CALLERS):
            for step in range(STATEMENTS_OF_A_CALLER):
                direct.ask(f"WRITE r{caller}x{step} {line_feeds(caller, step)}")
    record = Record(cluster)

    def work(session, caller, step):
        text = f"READ r{caller}x{step}"
        rows, _ = session.ask(text)
        record.read(text, rows, line_feeds(caller, step))
    run_callers(cluster.instances, record, work)
    record.judge()


def carriage_returns(cluster):
    """A lone carriage return is part of the data."""
    record = Record(cluster)
    run_callers(cluster.instances, record, write_and_read(
        lambda caller, step: f"\ra{caller}\rb{step}\r"))
    record.judge()


def with_repeated_answers(cluster, work, instances=None):
    """Judges `work` while databases send some answers twice."""
    record = Record(cluster)
    cluster.platform.order(repeat_answers=REPEATED)
    run_callers(instances or cluster.instances, record, work)
    repeated = cluster.platform.repeated_answers()
    print(f"    {repeated} answers were sent twice")
    expect(repeated >= LEAST_REPEATED, "too few answers were sent twice")
    record.judge()
    return record


def repeated_answers(cluster):
    """An answer that comes twice is not the answer to the next statement."""
    with_repeated_answers(cluster, write_and_read(plain))


def repeated_answers_in_transactions(cluster):
    """Nor in transactions, whether they are committed or rolled back."""
    def work(session, caller, step):
        item = f"t{caller}x{step}"
        session.ask("BEGIN")
        session.write_and_read(f"WRITE {item}", f"READ {item}",
                               plain(caller, step))
        session.ask("ROLLBACK" if step % 4 == 3 else "COMMIT")
    with_repeated_answers(cluster, work)


def repeated_refusals(cluster):
    """A refusal that comes twice is no promise about the next statement."""
    cluster.platform.order(refuse_statements=REFUSED_SHARE)

    def work(session, caller, step):
        item = f"w{caller}x{step}"
        try:
            session.ask(f"WRITE {item} {plain(caller, step)}")
            session.ask(f"READ {item}")
        except Refused:
            pass
        if step % 4 == 0:
            session.ask("BEGIN")
            session.ask(f"WRITE t{item} {plain(caller, step)}")
            session.ask("COMMIT")
    record = with_repeated_answers(cluster, work)
    expect(record.failed > 0, "no statement was refused")


def repeated_answers_around_session_state(cluster):
    """Nor of statements with which instances apply values and names."""
    def work(session, caller, step):
        session.ask(f"SET mood {caller}")
        session.ask(f"PREPARE s1 WRITE q{caller}")
        item = f"p{caller}x{step}"
        session.write_and_read(f"EXEC s1 {item}", f"READ {item}",
                               plain(caller, step))
    before = len(cluster.platform.runs())
    with_repeated_answers(cluster, work)
    for run in cluster.platform.runs()[before:]:
        caller = run["text"].split(" ")[1 if run["text"][0] == "R" else 2]
        caller = caller[1:caller.index("x")]
        expect(run["owner"] == f"mood={caller}",
               f"PINNED: {run['text']!r} ran with {run['owner']!r}")


def repeated_answers_to_abandoned_statements(cluster):
    """Nor is an answer whose caller has left."""
    address = cluster.instances[0].address

    def work(session, caller, step):
        leaver = RecordedSession(address, PRIMARY, session.record)
        leaver.abandon(f"READ w{caller}x{step}" if step % 2 else
                       f"WRITE left{caller}x{step} value")
        write_and_read(plain)(session, caller, step)
    with_repeated_answers(cluster, work)


def repeated_answers_at_carriers(cluster):
    """Nor where statements are forwarded; line feeds pass there, too."""
    carriers = settled(cluster)
    with_repeated_answers(cluster, write_and_read(line_feeds),
                          others(cluster, carriers))


def primaries_change_while_answers_repeat(cluster):
    """A repeated answer to a probe or an order is not evidence of now."""
    cluster.platform.order(repeat_answers=REPEATED)
    verdicts = write_until_accepted(cluster, 0, 20)
    for _ in range(2):
        old = cluster.platform.crash_primary()
        verdicts |= write_until_accepted(cluster, len(verdicts), 20)
        expect(replaced(cluster, old), "no other primary")
        cluster.platform.order(database=old["id"], order="start")
        verdicts |= write_until_accepted(cluster, len(verdicts), 20)
    cluster.platform.order(repeat_answers={"share": 0.0})
    judge(cluster, verdicts)


SCENARIOS = (
    nothing_unusual, line_feeds_in_statements, line_feeds_in_rows,
    carriage_returns, repeated_answers, repeated_answers_in_transactions,
    repeated_refusals, repeated_answers_around_session_state,
    repeated_answers_to_abandoned_statements, repeated_answers_at_carriers,
    primaries_change_while_answers_repeat)


def run(scenario, build):
    if scenario is repeated_answers_at_carriers:
        return run_scenario(scenario, CarrierCluster(
            build, instances=INSTANCES,
            platform_options={"connections": CONNECTIONS}))
    return run_scenario(scenario, PlatformCluster(build))


if __name__ == "__main__":
    sys.exit(run_chosen(__doc__, SCENARIOS, run))
