#!/usr/bin/env python3
"""Real processes on the platform's stand-in: a primary that returns before it
was replaced, and promotion calls that go wrong.

Usage: platform_changes.py [--build FOLDER] [--list] [SCENARIO...]
"""

import sys
import threading
import time

sys.dont_write_bytecode = True

from cluster_of_processes import wait_until  # noqa: E402
from line_client import Session  # noqa: E402
from platform_cluster import SERVICE, run_scenario  # noqa: E402
from platform_cuts import (  # noqa: E402
    RETRY_PAUSE_S, ProxiedCluster, Repeated)
from platform_path import expect, judge, replaced, write  # noqa: E402
from scenarios import run_chosen  # noqa: E402

# Once nothing is disturbed any more, a group with a reachable database accepts
# writes within this: a promotion takes some hundred milliseconds, an instance
# that can't be asked keeps its serving lease for up to 1.75 s, and the record
# of the change is a store call.
PROGRESS_BOUND_S = 3.0
WRITERS = 2
WORK_US = 500
# How long traffic goes on after all accept writes.
AFTER_S = 1.5
# How long one instance stays cut off after the primary has returned.
STILL_CUT_S = 2.0
# Longer than it takes to open another database.
EFFECT_LATE_MS = 8000
# How long a database that started again does not register itself.
SILENT_MS = 300
# What a promoted database has not received by then is not at it.
DELIVERY_S = 0.2
CHANGE_LIMIT_S = 25


class Writers(Repeated):
    """Writes through all instances."""

    def __init__(self, cluster):
        # (sent at, answered at, item, verdict, instance)
        self.writes = []
        self.ended = None
        self._may_write = threading.Event()
        self._may_write.set()
        self._asking = []
        super().__init__([(self._write, each, number)
                          for each in cluster.instances
                          for number in range(WRITERS)])

    def hold(self):
        """Returns once no write is under way and none begins."""
        self._may_write.clear()
        wait_until("writes have ended", lambda: not self._asking)

    def release(self):
        self._may_write.set()

    def stop(self):
        self.ended = time.monotonic()
        super().stop()

    def verdicts(self):
        return {name: verdict for _, _, name, verdict, _ in self.writes}

    def accepted_after(self, instance, moment):
        """When a write through it was accepted first after a moment."""
        return min((answered for _, answered, _, verdict, through in self.writes
                    if verdict == "accepted" and through is instance
                    and answered >= moment), default=None)

    def _write(self, instance, number, count):
        self._asking.append(1)
        try:
            if self._may_write.is_set():
                name = f"{instance.name}-{number}-{count}"
                sent = time.monotonic()
                verdict = write(instance, name)
                self.writes.append((sent, time.monotonic(), name, verdict,
                                    instance))
        finally:
            self._asking.pop()
        time.sleep(RETRY_PAUSE_S)


class Traffic:
    """Writers for the time of a scenario."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._writers = None

    def __enter__(self):
        self._writers = Writers(self._cluster)
        time.sleep(0.5)
        return self._writers

    def __exit__(self, *_):
        self._writers.release()
        self._writers.stop()


def crash_primary(cluster, writers):
    """Crashes the primary when replicas hold all that was accepted."""
    writers.hold()
    old = cluster.platform.crash_primary()
    writers.release()
    return old


def wait_sealed(cluster, since):
    wait_until("a group is sealed", lambda: sum(
        len(each.logged("group.seal")) for each in cluster.instances) > since)


def seals(cluster):
    return sum(len(each.logged("group.seal")) for each in cluster.instances)


def wait_for_writes(cluster, writers, since):
    """Returns a while after all instances have accepted writes, and not before
    the bound is over."""
    for each in cluster.instances:
        wait_until(f"{each.name} accepts writes",
                   lambda: writers.accepted_after(each, since), CHANGE_LIMIT_S)
    time.sleep(max(0.0, since + PROGRESS_BOUND_S - time.monotonic()) + AFTER_S)


def longest_gap(writers, instance, since, until, kept=None):
    """The longest time in which no write, or none of those that are kept, was
    accepted through an instance."""
    times = sorted(answered for _, answered, name, verdict, through
                   in list(writers.writes)
                   if through is instance and verdict == "accepted"
                   and since <= answered < until
                   and (kept is None or name in kept))
    ends = [since, *times, until]
    return max(later - earlier for earlier, later in zip(ends, ends[1:]))


def judge_progress(cluster, writers, kept, calm):
    """After all is calm, each instance accepts writes that are kept soon, and
    goes on to."""
    gaps = {each.name: longest_gap(writers, each, calm, writers.ended, kept)
            for each in cluster.instances}
    print(f"    longest time without a kept write in the "
          f"{writers.ended - calm:.1f} s after the last disruption: "
          + ", ".join(f"{each:.2f}" for each in gaps.values()) + " s")
    late = {name: each for name, each in gaps.items()
            if each > PROGRESS_BOUND_S}
    expect(not late, f"no progress within {PROGRESS_BOUND_S} s: {late}")


def kept_items(cluster, writers):
    """The items of accepted writes that the final primary holds."""
    primary = cluster.platform.primary()
    expect(primary, "no primary is left")
    with Session(primary["addr"], SERVICE) as session:
        return {name for _, _, name, verdict, _ in writers.writes
                if verdict == "accepted"
                and session.read(f"item-{name}") == f"value-{name}"}


def judge_kept(writers, kept, lossy=None):
    """The final primary holds all accepted writes, but for those that were
    answered within `lossy` (from, to) and sent before its end."""
    accepted = [each for each in writers.writes if each[3] == "accepted"]
    spared = {name for sent, answered, name, _, _ in accepted
              if lossy and lossy[0] <= answered and sent < lossy[1]}
    lost = [each[:4] for each in accepted
            if each[2] not in kept and each[2] not in spared]
    print(f"    {len(accepted)} writes were accepted, {len(lost)} of them are "
          "lost" + (f", sent {min(lost)[0] - lossy[1]:.2f} to "
                    f"{max(lost)[0] - lossy[1]:.2f} s after the effect"
                    if lost and lossy else ""))
    expect(accepted, "no write was accepted")
    expect(not lost, f"{len(lost)} acknowledged writes are lost, such as "
                     f"{[each[2] for each in lost[:3]]}")


def judge_all(cluster, writers, calm):
    """Nothing is lost or doubled, and there is progress."""
    kept = kept_items(cluster, writers)
    judge_kept(writers, kept)
    judge(cluster, writers.verdicts())
    judge_progress(cluster, writers, kept, calm)


def report_calls(cluster):
    primary = cluster.platform.primary()
    print(f"    promotion calls: {cluster.platform.promotion_calls()}; the "
          f"primary is {primary and (primary['id'], primary['term'])}; "
          f"{seals(cluster)} seals")


def primary_returns(cluster):
    """One that restarts before it could be replaced leads again."""
    isolated = (cluster.holder() + 1) % 3
    reached = [each for number, each in enumerate(cluster.instances)
               if number != isolated]
    with Traffic(cluster) as writers:
        sealed = seals(cluster)
        cluster.isolate(isolated, True)
        time.sleep(0.3)
        old = crash_primary(cluster, writers)
        wait_sealed(cluster, sealed)
        cluster.platform.order(database=old["id"], order="start")
        returned = time.monotonic()
        time.sleep(STILL_CUT_S)
        cluster.isolate(isolated, False)
        healed = time.monotonic()
        opened = [writers.accepted_after(each, returned) for each in reached]
        wait_for_writes(cluster, writers, healed)
    print("    the others accept writes, in s after its return: " + ", ".join(
        f"{each - returned:.2f}" if each else f"not within {STILL_CUT_S}"
        for each in opened) + "; longest gaps until the other was healed: "
        + ", ".join(f"{longest_gap(writers, each, returned, healed):.2f}"
                    for each in reached))
    report_calls(cluster)
    judge_all(cluster, writers, healed)
    new = next(each for each in cluster.platform.databases()
               if each["id"] == old["id"])
    expect(new["born"] > old["born"], "it did not start anew")
    expect(new["primary"] and new["term"] == old["term"],
           "another database was promoted")


def only_database_restarts(cluster):
    """The only database of a group leads again after its restart, before its
    entry in the store tells of it."""
    with Traffic(cluster) as writers:
        sealed = seals(cluster)
        old = crash_primary(cluster, writers)
        wait_sealed(cluster, sealed)
        cluster.platform.order(database=old["id"], order="start",
                               silent_ms=SILENT_MS)
        time.sleep(SILENT_MS / 1000)
        calm = time.monotonic()
        wait_for_writes(cluster, writers, calm)
    report_calls(cluster)
    judge_all(cluster, writers, calm)


def change_with_faults(cluster, *faults):
    """The primary crashes, and so many calls for another go wrong."""
    with Traffic(cluster) as writers:
        cluster.platform.order(promotion=[{"count": 1, **each}
                                          for each in faults])
        old = crash_primary(cluster, writers)
        wait_until("the faults are over", lambda: len(
            cluster.platform.promotion_calls()) >= len(faults), CHANGE_LIMIT_S,
            0.005)
        calm = time.monotonic()
        wait_for_writes(cluster, writers, calm)
    report_calls(cluster)
    expect(replaced(cluster, old), "no other primary")
    judge_all(cluster, writers, calm)


def promotion_without_effect(cluster):
    """Calls that are answered with 200 and change nothing."""
    fault = {"answer": 200, "effect": False}
    change_with_faults(cluster, fault, fault)


def promotion_never_has_effect(cluster):
    """One database is never promoted, though its calls are answered with 200:
    another takes over."""
    change_with_faults(cluster, {"answer": 200, "effect": False, "same": True,
                                 "count": 100})


def promotion_refused(cluster):
    """A call that is refused as not possible, then one over the limit."""
    change_with_faults(cluster, {"answer": 409, "effect": False},
                       {"answer": 429, "effect": False})


def promotion_answer_lost(cluster):
    """A call that is not answered and takes effect."""
    change_with_faults(cluster, {"answer": 0})


def promotion_call_lost(cluster):
    """A call that is not answered and has no effect."""
    change_with_faults(cluster, {"answer": 0, "effect": False})


def cut_database(cluster, name, cut):
    """Cuts all instances off a database."""
    address = next(each["addr"] for each in cluster.platform.databases()
                   if each["id"] == name)
    for links in cluster.proxies:
        links.cut_database(address, cut)


def late_promotion(cluster):
    """A call that was given up takes effect when another database leads."""
    platform = cluster.platform
    with Traffic(cluster) as writers:
        platform.order(promotion=[
            {"count": 1, "answer": 0, "effect_late_ms": EFFECT_LATE_MS}])
        old = crash_primary(cluster, writers)
        first = wait_until("a promotion is called", platform.promotion_calls,
                           CHANGE_LIMIT_S, 0.005)[0]
        platform.order(promotion=[
            {"id": first, "answer": 409, "effect": False, "count": 100}])
        began = time.monotonic()
        cut_database(cluster, first, True)
        wait_until("it is replaced", lambda: replaced(cluster, old),
                   CHANGE_LIMIT_S)
        opened = cluster.platform.primary()
        cut_database(cluster, first, False)
        expect(opened["id"] != first, "the database was not given up")
        print(f"    {opened['id']} was opened {time.monotonic() - began:.2f} "
              "s after the first call")
        wait_until("the late promotion takes effect",
                   lambda: replaced(cluster, opened), CHANGE_LIMIT_S, 0.005)
        effect = time.monotonic()
        print(f"    the late one took effect {effect - began:.2f} s after it")
        wait_for_writes(cluster, writers, effect)
    report_calls(cluster)
    expect(platform.primary()["id"] == first,
           "the database that was given up does not lead")
    kept = kept_items(cluster, writers)
    judge_kept(writers, kept, (effect - DELIVERY_S, effect))
    judge_progress(cluster, writers, kept, effect)


SCENARIOS = [primary_returns, only_database_restarts, promotion_without_effect,
             promotion_never_has_effect, promotion_refused,
             promotion_answer_lost, promotion_call_lost, late_promotion]


def run(scenario, build):
    databases = 1 if scenario is only_database_restarts else 3
    return run_scenario(scenario, ProxiedCluster(
        build, {"databases": databases, "work-us": WORK_US}))


if __name__ == "__main__":
    sys.exit(run_chosen(__doc__, SCENARIOS, run))
