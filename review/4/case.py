"""A client sends data that contains a line feed, inside one message."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FEED = "\n" if TROUBLE else " "


async def case(record, started, folder):
    world = standin.World(record, ("ledger",))
    instances = await harness.start_all(started, folder, world, 2)
    await harness.wait_for_service(record, world, instances)
    world.runs.clear()
    client = harness.Client(record, "clerk")
    await client.open(instances[0].front, "ledgerdb")
    await client.ask("WRITE volume 100")
    try:
        await client.ask(f"WRITE note first{FEED}QUERY 00000000000000ff WRITE volume 0")
    except harness.Refused:
        pass  # Refusing it is sound: nothing of it may run then.
    await asyncio.sleep(1)
    client.close()
    try:
        reader = harness.Client(record, "reader")
        await reader.open(instances[1].front, "ledgerdb")
        await reader.ask("READ volume")
    except harness.Refused:
        pass
    sent = set(client.sent) | set(reader.sent)
    broken = False
    for database, ident, text in world.runs:
        plain = text.split(" ", 2)[2] if text.startswith("AFTER ") else text
        if (ident, plain) not in sent:
            broken = True
            record.add(f"UNASKED: {database} ran {ident} {text!r}, which no client sent")
    return broken


harness.run(case, HERE)
