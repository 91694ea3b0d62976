"""A configuration that is written right after a drill, with revisions that the
instances have seen before the drill."""

import sys
import time

sys.dont_write_bytecode = True
from cluster import (CONFIG_APPLY_S, SKEW_MAX_S, STABLE_S, TROUBLE,  # noqa: E402
                     Refused, Session, main)

SETTLE_S = 12
AGE_S, AWAY_S = 4.0, 0.8
AFTER_RETURN_S = 0.1


def scenario(world):
    time.sleep(SETTLE_S)
    if TROUBLE:
        world.drill(AGE_S, AWAY_S)
    time.sleep(AFTER_RETURN_S)
    world.configure(7, [("late", world.services[0].name)])
    acknowledged = time.monotonic()
    found = []
    # Past all that the rule may add to the bound.
    for wait in (CONFIG_APPLY_S + STABLE_S + SKEW_MAX_S + 1, 30, 40):
        time.sleep(max(0, acknowledged + wait - time.monotonic()))
        for instance in world.instances:
            text = ask(instance)
            world.note("request", f"late by {instance.name}, {wait} s after "
                       f"the acknowledgement of version 7: {text}")
            if text.startswith("NODB"):
                found.append(f"{instance.name} refuses the route of version 7 "
                             f"{wait} s after its acknowledgement: {text}")
    return found


def ask(instance):
    """What a client of the new route is told."""
    try:
        session = Session(instance.address, "late")
        try:
            session.ask("READ probe")
            return "served"
        finally:
            session.close()
    except (Refused, OSError) as error:
        return str(error)


main(scenario, instances=5, services=3)
