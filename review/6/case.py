"""One replica receives nothing for a while, and the primary crashes meanwhile;
the other replica, which has every acknowledged commit, is busy with reads."""

import sys
import threading
import time

sys.dont_write_bytecode = True
from cluster import TROUBLE, Refused, Session, main  # noqa: E402

SETTLE_S = 12
READ_S = 0.030     # work of a read
READERS, WRITERS = 16, 1   # sessions at each instance
PAUSE_S = 0.5      # of a session that reads, between two reads
DEAF_S, CRASH_AFTER_S, DOWN_S = 6.5, 3.0, 7.0
BURST_X, BURST_S, BURST_BEFORE_CRASH_S = 1.7, 3.0, 2.4


class Load:
    """Sessions that read and write until they are told to stop."""

    def __init__(self, world, service):
        self.world, self.service = world, service
        self.running = True
        self.lock = threading.Lock()
        self.accepted = []     # (time, id of the statement)
        self.counts = {}
        for instance in world.instances:
            for n in range(READERS):
                route = ("b", "o")[n % 2]
                self._start(instance, f"{route}-{service.name}", "READ")
            for _ in range(WRITERS):
                self._start(instance, f"w-{service.name}", "WRITE")

    def burst(self):
        """More sessions come, and leave again."""
        until = time.monotonic() + BURST_S
        for instance in self.world.instances:
            for n in range(round(READERS * (BURST_X - 1))):
                route = ("b", "o")[n % 2]
                self._start(instance, f"{route}-{self.service.name}", "READ",
                            until)
        self.world.note("fault", f"a burst, {BURST_X} times the sessions")

    def _start(self, *what):
        threading.Thread(target=self._run, args=what, daemon=True).start()

    def _run(self, instance, route, verb, until=float("inf")):
        session, number = None, 0
        while self.running and time.monotonic() < until:
            number += 1
            try:
                session = session or Session(instance.address, route)
                item = f"{id(session)}.{number}"
                session.ask(f"{verb} {item}" + (" 1" if verb == "WRITE" else ""))
                time.sleep(PAUSE_S if verb == "READ" else 0.05)
                self._count(verb, "served")
                if verb == "WRITE":
                    with self.lock:
                        self.accepted.append((time.monotonic(),
                                              session.last_id))
            except Refused as error:
                self._count(verb, error.code)
                time.sleep(0.05)
            except OSError:
                self._count(verb, "no answer")
                session = None
                time.sleep(0.05)

    def _count(self, verb, how):
        with self.lock:
            key = f"{verb} {how}"
            self.counts[key] = self.counts.get(key, 0) + 1


def scenario(world):
    service = world.services[0]
    service.read_s = READ_S
    time.sleep(SETTLE_S)
    load = Load(world, service)
    time.sleep(3)
    with service.lock:
        service.advance()
        primary = service.leader()
        deaf = [d for d in service.databases if d is not primary][-1]
    if TROUBLE:
        deaf.deaf = True
        world.note("fault", f"{deaf.id} receives nothing")
        time.sleep(CRASH_AFTER_S - BURST_BEFORE_CRASH_S)
        load.burst()
        time.sleep(BURST_BEFORE_CRASH_S)
        primary.crash()
        time.sleep(DEAF_S - CRASH_AFTER_S)
        deaf.deaf = False
        world.note("fault", f"{deaf.id} receives again")
        time.sleep(DOWN_S - DEAF_S + CRASH_AFTER_S)
        primary.start_again()
    time.sleep(8)
    load.running = False
    time.sleep(2)
    world.note("load", str(load.counts))
    return breaks(world, service, load)


def breaks(world, service, load):
    """Rule LOST: an acknowledged commit is not in the log of the database that
    is promoted."""
    found = []
    for at, identity, log in service.taken_over:
        lost = [s for when, s in load.accepted
                if when < at and service.committed[s] not in log]
        world.note("judged", f"{identity} took over with {len(log)} commits; "
                   f"{len(lost)} acknowledged ones are not among them")
        if lost:
            found.append(f"{identity} was promoted without {len(lost)} commits "
                         f"that had been acknowledged, such as {lost[-1]}")
    return found


main(scenario, instances=5, services=3, sync=1)
