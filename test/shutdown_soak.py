#!/usr/bin/env python3
"""Random last moments: instances on the platform's stand-in are stopped,
stopped twice, restarted, reloaded and configured in series and beside each
other, while callers connect, wait, send ahead, send in pieces, read slowly and
keep using open connections until they end. Databases send some answers twice,
and some data hold line feeds.

Every statement that was sent whole must be answered, unless its connection
ended within 200 ms of its last byte and no database ran it; what was accepted
ran once, what was refused as not run never did; every process that was asked
to end ends by itself, in time. Each success has its own signature and rows, and
databases run only what was sent.

Usage: shutdown_soak.py [--build FOLDER] [--seed N] [--runs N] [--seconds N]
                        [--callers N] [--instances N]
"""

import argparse
import os
import pathlib
import random
import signal
import sys
import threading
import time

sys.dont_write_bytecode = True

from cluster_of_processes import ClusterError, wait_until  # noqa: E402
from line_client import Refused, Session  # noqa: E402
from platform_cluster import (  # noqa: E402
    BOUNDED, LEAVING_S, OWN_WRITES, PRIMARY, PlatformCluster, configuration,
    route)
from raw_line_caller import ERROR, READY, RawCaller, word  # noqa: E402

# A statement may go unanswered if its connection ended so soon after its last
# byte: it may have crossed the end on its way.
CROSSING_S = 0.2
# A caller gives up on an answer; longer than any route's timeout.
PATIENCE_S = 9.0
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}
LARGE_ITEM, LARGE_BYTES = "large", 200_000
# A start that finds a port taken is tried again, after a look this much later.
STARTS, START_LOOK_S, TAKEN = 20, 0.3, "Address already in use"
# How many of their answers databases send twice.
REPEATED_SHARES = (0.0, 0.05, 0.2)
# Exit code of a process that was asked to end a second time.
CUT_OFF = 1


class Statement:
    """One statement of a caller and what became of it."""

    def __init__(self, ident, text, sent):
        self.ident = ident
        self.text = text
        self.rows, self.signature = [], ""
        self.sent = sent
        self.code = ""      # of the answer; "DONE" if it succeeded
        self.lost_after = None  # seconds from its last byte to the end

    def answered(self):
        return bool(self.code)


class Conversation:
    """A connection whose statements are matched with their answers."""

    def __init__(self, caller, records):
        self.caller = caller
        self._records = records
        self._open = []     # statements without an answer, None: the startup
        self._taken = 0     # lines that were looked at
        self._code = "DONE"
        self._rows, self._signature = [], ""

    def startup(self, name):
        self._open.append(None)
        return f"STARTUP {name} soak"

    def add(self, text, line=None):
        """A line for the statement, which counts as sent from now on."""
        line = line or RawCaller.statement(text)
        statement = Statement(line.split(" ")[1], text, time.monotonic())
        self._open.append(statement)
        self._records.append(statement)
        return line

    def sent_now(self):
        """The last bytes have left: their age counts from here."""
        now = time.monotonic()
        for statement in self._open:
            if statement:
                statement.sent = now

    def await_answers(self, limit=PATIENCE_S):
        """Reads until everything is answered; False if the session ended."""
        deadline = time.monotonic() + limit
        self._match()
        while self._open and not self.caller.end:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            known = len(self.caller.lines)
            self.caller.read_until(lambda lines: len(lines) > known, left)
            self._match()
        if self.caller.end:
            self._note_end()
        return not self._open and not self.caller.end

    def _note_end(self):
        for statement in self._open:
            if statement and statement.lost_after is None:
                statement.lost_after = time.monotonic() - statement.sent

    def _match(self):
        for line in self.caller.lines[self._taken:]:
            if word(line) == ERROR:
                self._code = line.split(" ")[1]
                if self._open and self._open[0] is None:
                    self._open.pop(0)  # a startup that was refused
                    continue
            if word(line) == "ROW":
                self._rows.append(line.partition(" ")[2])
            if word(line) == "DONE":
                self._signature = line.partition(" ")[2]
            if word(line) == READY:
                done = self._open.pop(0) if self._open else None
                if done:
                    done.code = self._code
                    done.rows, done.signature = self._rows, self._signature
                self._code = "DONE"
                self._rows, self._signature = [], ""
        self._taken = len(self.caller.lines)


def value_of(number):
    """What is written to an item; some values look like another message."""
    smuggled = f"\nQUERY smuggled{number} WRITE other {number}"
    return f"value-{number}" + (smuggled if number % 4 == 0 else "")


class Soak:
    """One run: the cluster, its callers and what is done to it."""

    def __init__(self, cluster, seed, seconds, callers):
        self.cluster = cluster
        self._random = random.Random(seed)
        self._seconds = seconds
        self._callers = callers
        self._records = []
        self._complaints = []
        self._over = threading.Event()
        self._numbers = iter(range(1, 10**9))
        self._lock = threading.Lock()
        self._version = 100
        self.ended = 0

    # Callers.

    def _text(self, dice):
        """A statement that no other has."""
        with self._lock:
            number = next(self._numbers)
        if dice.random() < 0.4:
            return f"WRITE soak-{number} {value_of(number)}"
        return f"READ soak-{dice.randrange(1, number + 1)}"

    def _connect(self, dice):
        instance = dice.choice(self.cluster.instances)
        try:
            return Conversation(RawCaller(instance.address), self._records)
        except OSError:
            time.sleep(0.05)
            return None

    def _loop(self, dice, talk):
        """Uses a connection until it ends."""
        talk.caller.send(talk.startup(dice.choice((PRIMARY, OWN_WRITES, BOUNDED))))
        while talk.await_answers() and not self._over.is_set():
            talk.caller.send(talk.add(self._text(dice)))
            talk.sent_now()
            if dice.random() < 0.3 and talk.await_answers():
                time.sleep(dice.random() * 0.3)

    def _ahead(self, dice, talk):
        """Sends a startup and statements in one piece, then more of them."""
        lines = [talk.startup(PRIMARY)]
        for _ in range(dice.randrange(1, 4)):
            lines += [talk.add(self._text(dice))
                      for _ in range(dice.randrange(1, 7))]
            talk.caller.send(*lines)
            talk.sent_now()
            if not talk.await_answers():
                return
            lines = []

    def _late(self, dice, talk):
        """Connects, and speaks much later."""
        self._over.wait(dice.random() * 4.5)
        talk.caller.send(talk.startup(PRIMARY), talk.add(self._text(dice)))
        talk.sent_now()
        talk.await_answers()

    def _transaction(self, dice, talk):
        """A transaction with pauses."""
        talk.caller.send(talk.startup(PRIMARY))
        texts = ["BEGIN", self._text(dice), self._text(dice),
                 "COMMIT" if dice.random() < 0.8 else "ROLLBACK"]
        for text in texts:
            if not talk.await_answers():
                return
            time.sleep(dice.random() * 0.4)
            talk.caller.send(talk.add(text))
            talk.sent_now()
        talk.await_answers()

    def _pieces(self, dice, talk):
        """A statement that takes a while to arrive."""
        talk.caller.send(talk.startup(PRIMARY))
        if not talk.await_answers():
            return
        text = self._text(dice)
        statement = RawCaller.statement(text)
        line = statement.encode() + b"\r\n"
        whole = len(line) - 1
        for start in range(0, whole, 8):
            if not talk.caller.send_bytes(line[start:min(start + 8, whole)]):
                return
            time.sleep(dice.random() * 0.1)
        talk.add(text, statement)
        talk.caller.send_bytes(line[whole:])
        talk.sent_now()
        talk.await_answers()

    def _slow(self, dice, talk):
        """Sends ahead for large answers and reads them slowly."""
        talk.caller.send(talk.startup(PRIMARY))
        if not talk.await_answers():
            return
        talk.caller.send(*[talk.add(f"READ {LARGE_ITEM}") for _ in range(8)])
        talk.sent_now()
        time.sleep(dice.random() * 1.0)
        talk.await_answers()

    def _talk(self, seed):
        dice = random.Random(seed)
        kinds = (self._loop, self._loop, self._ahead, self._ahead, self._late,
                 self._transaction, self._pieces, self._slow)
        while not self._over.is_set():
            talk = self._connect(dice)
            if talk is None:
                continue
            dice.choice(kinds)(dice, talk)
            talk.caller.close()

    # What is done to the instances.

    def _stop(self, number, dice):
        """Ends an instance and starts it again under its settings."""
        instance = self.cluster.instances[number]
        asked = time.monotonic()
        os.kill(instance.pid, signal.SIGTERM)
        again = dice.random() < 0.15
        if again:
            time.sleep(dice.random() * 3.0)
            if instance.running():
                os.kill(instance.pid, signal.SIGTERM)
        limit = LEAVING_S - (time.monotonic() - asked)
        try:
            wait_until("it ends", lambda: not instance.running(), limit)
        except ClusterError:
            self._complain(f"{instance.name} was still running "
                           f"{LEAVING_S} s after SIGTERM")
        code = instance.stop()
        allowed = {0, CUT_OFF} if again else {0}
        if instance.silent():
            # Before it could block the signal, so before it listened.
            allowed.add(-signal.SIGTERM)
        if code not in allowed:
            self._complain(f"{instance.name} ended with {code}")
        for line in instance.logged("session.cut"):
            if ("closed by this instance" in line["text"]
                    and "unanswered" in line["text"]):
                self._complain(f"{instance.name}: {line}")
        self.ended += 1
        time.sleep(dice.random())
        self._start_again(number)

    def _start_again(self, number):
        """Starts an instance again. Its ports were free for a while, and tests
        that run beside this one may hold one of them for a moment."""
        for _ in range(STARTS):
            self.cluster.restart_instance(number)
            instance = self.cluster.instances[number]
            self._over.wait(START_LOOK_S)
            if instance.running() or TAKEN not in instance.log_tail():
                return
            instance.stop()
        raise ClusterError("its ports stay taken")

    def _reload(self, number, dice):
        """Changes the settings file, with a signal or without one."""
        instance = self.cluster.instances[number]
        text = instance.settings_file.read_text().rstrip().removesuffix("}")
        text = text.split(',\n  "log_level"')[0].rstrip()
        level = dice.choice(("info", "debug"))
        instance.settings_file.write_text(
            f'{text},\n  "log_level": "{level}"\n}}\n')
        if dice.random() < 0.7 and instance.running():
            os.kill(instance.pid, signal.SIGHUP)

    def _configure(self, dice):
        """Configurations in quick succession: names come and go."""
        for _ in range(dice.randrange(1, 5)):
            self._version += dice.randrange(1, 9)
            value = configuration(self._version)
            value["routes"] += [route(f"more-{n}", "primary")
                                for n in range(dice.randrange(0, 30))]
            if dice.random() < 0.2:
                value["routes"] = [each for each in value["routes"]
                                   if each["host"] != BOUNDED]
            self.cluster.configure(value)
            time.sleep(dice.random() * 0.2)

    def _disturb(self, number, seed):
        """What happens to one instance, in series."""
        dice = random.Random(seed)
        while not self._over.is_set():
            self._over.wait(dice.random() * 3.0)
            if self._over.is_set():
                return
            try:
                if dice.random() < 0.7:
                    self._stop(number, dice)
                else:
                    self._reload(number, dice)
            except (ClusterError, OSError) as error:
                self._complain(f"instance {number + 1}: {error}")

    def _disturb_all(self, seed):
        dice = random.Random(seed)
        while not self._over.wait(dice.random() * 3.0):
            self.cluster.platform.order(repeat_answers={
                "share": dice.choice(REPEATED_SHARES),
                "least_ms": 2, "most_ms": 80})
            self._configure(dice)

    def _complain(self, text):
        with self._lock:
            self._complaints.append(text)

    # The run.

    def play(self):
        """Plays the run; what was wrong with it."""
        with Session(self.cluster.instances[0].address, PRIMARY) as session:
            session.ask(f"WRITE {LARGE_ITEM} {'x' * LARGE_BYTES}")
        draw = self._random.getrandbits
        threads = [threading.Thread(target=self._talk, args=(draw(48),))
                   for _ in range(self._callers)]
        threads += [threading.Thread(target=self._disturb,
                                     args=(number, draw(48)))
                    for number in range(len(self.cluster.instances))]
        threads.append(threading.Thread(target=self._disturb_all,
                                        args=(draw(48),)))
        for thread in threads:
            thread.start()
        time.sleep(self._seconds)
        self._over.set()
        for thread in threads:
            thread.join()
        self._judge()
        return self._complaints

    def _judge(self):
        ran = {}
        runs = self.cluster.platform.runs()
        self._judge_runs(runs)
        for each in runs:
            ran[each["text"]] = ran.get(each["text"], 0) + 1
        for each in self._records:
            self._judge_answer(each)
            is_write = each.text.startswith("WRITE soak")
            count = ran.get(each.text, 0) if is_write else 0
            if count > 1:
                self._complain(f"TWICE: '{each.text}' ran {count} times")
            if each.code in PROMISES and count:
                self._complain(f"REFUSED: '{each.text}' ran, but got {each.code}")
            if each.answered():
                continue
            if each.lost_after is None:
                self._complain(f"LOST: '{each.text}' has no answer after "
                               f"{PATIENCE_S} s")
            elif each.lost_after > CROSSING_S:
                self._complain(f"LOST: the connection of '{each.text}' ended "
                               f"{each.lost_after:.3f} s after its last byte")
            elif count:
                self._complain(f"LOST: '{each.text}' ran and has no answer")

    def _judge_answer(self, statement):
        """A success is signed for its statement and has the rows of its item."""
        if statement.code != "DONE" or statement.text in ("BEGIN", "ROLLBACK"):
            return
        if statement.signature != f"s.{statement.ident}":
            self._complain(f"MIXED: '{statement.text}' ({statement.ident}) is "
                           f"signed '{statement.signature}'")
        kind, item = statement.text.split(" ")[:2] if " " in statement.text \
            else (statement.text, "")
        if kind != "READ" or item == LARGE_ITEM:
            return
        if statement.rows not in ([""], [value_of(int(item.split("-")[1]))]):
            self._complain(f"MIXED: '{statement.text}' read {statement.rows}")

    def _judge_runs(self, runs):
        sent = {each.ident: each.text for each in self._records}
        for run in runs:
            known = run["id"] == "-" or not run["id"].startswith(
                ("raw", "smuggled")) or sent.get(run["id"]) == run["text"]
            if not known:
                self._complain(f"UNASKED: {run['text']!r}, sent "
                               f"{sent.get(run['id'])!r}")

    def summary(self):
        codes = {}
        for each in self._records:
            key = each.code or "crossed the end"
            codes[key] = codes.get(key, 0) + 1
        repeated = self.cluster.platform.repeated_answers()
        return (f"{self.ended} ends, {repeated} answers sent twice, "
                f"{len(self._records)} statements: {codes}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--instances", type=int, default=3)
    options = parser.parse_args()
    failed = []
    for seed in range(options.seed, options.seed + options.runs):
        cluster = PlatformCluster(options.build, instances=options.instances)
        with cluster:
            try:
                cluster.start()
                soak = Soak(cluster, seed, options.seconds, options.callers)
                complaints = soak.play()
                print(f"seed {seed}: {soak.summary()}", flush=True)
            except (ClusterError, Refused, OSError) as error:
                complaints = [f"the run broke off: {error}"]
            for each in complaints[:10]:
                print(f"    {each[:300]}")
            if complaints:
                print(f"    {len(complaints)} complaints; logs: {cluster.folder}",
                      flush=True)
                failed.append(seed)
            else:
                cluster.discard_logs_at_end()
    print(f"{options.runs - len(failed)} of {options.runs} runs went well"
          + (f"; failed seeds: {failed}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
