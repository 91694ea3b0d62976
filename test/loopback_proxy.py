"""Proxies on the loopback between one instance and all that it talks to.

The store's answers are rewritten, so that the instance reaches each database and
each other instance through a link of its own, which can be cut: bytes then stay
away in both directions, without a reset, as behind a partition.
"""

import asyncio
import base64
import json
import threading

SERVER_PREFIX = "servers/"
PEER_SCHEME = "tcp://"


class Link:
    """A forwarded port. While it is cut, nothing passes."""

    def __init__(self, target):
        self.target = target
        self.address = None
        self._server = None
        self._tasks = set()
        self._passes = asyncio.Event()
        self._passes.set()

    async def open(self):
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % (
            self._server.sockets[0].getsockname()[1])

    def set_cut(self, cut):
        if cut:
            self._passes.clear()
        else:
            self._passes.set()

    async def _accept(self, reader, writer):
        # The loop itself holds tasks weakly only.
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _connect(self):
        host, port = self.target.rsplit(":", 1)
        return await asyncio.open_connection(host, int(port))

    async def _serve(self, reader, writer):
        await self._forward(reader, writer, self._passes, b"")

    async def _forward(self, reader, writer, passes, first):
        await passes.wait()
        far_reader, far_writer = await self._connect()
        far_writer.write(first)
        await asyncio.gather(pass_on(reader, far_writer, passes),
                             pass_on(far_reader, writer, passes))


async def pass_on(reader, writer, passes):
    try:
        while data := await reader.read(65536):
            await passes.wait()
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    writer.close()


class DatabaseLink(Link):
    """A link to a database, which can be cut for single instances: the first
    line of each connection names the instance."""

    def __init__(self, target):
        super().__init__(target)
        self._passes_of = {}

    def cut_for(self, instance, cut):
        passes = self._passes_for(instance)
        if cut:
            passes.clear()
        else:
            passes.set()

    def _passes_for(self, instance):
        if instance not in self._passes_of:
            self._passes_of[instance] = asyncio.Event()
            self._passes_of[instance].set()
        return self._passes_of[instance]

    async def _serve(self, reader, writer):
        first = await reader.readuntil(b"\r\n")
        instance = first.split(b" ")[2].decode()
        await self._forward(reader, writer, self._passes_for(instance), first)


class StoreLink(Link):
    """A link to the store, which rewrites addresses in its answers."""

    def __init__(self, target, proxies):
        super().__init__(target)
        self._proxies = proxies

    async def _serve(self, reader, writer):
        await self._passes.wait()
        far_reader, far_writer = await self._connect()
        while True:
            head, body = await read_message(reader)
            await self._passes.wait()
            far_writer.write(head + body)
            head, body = await read_message(far_reader)
            body = await self._proxies.rewrite(body)
            await self._passes.wait()
            writer.write(with_length(head, len(body)) + body)
            await writer.drain()


async def read_message(reader):
    """Reads an HTTP message whose body has a stated length."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return head, await reader.readexactly(length)


def with_length(head, length):
    lines = [line for line in head.split(b"\r\n\r\n")[0].split(b"\r\n")
             if not line.lower().startswith(b"content-length")]
    lines.append(b"Content-Length: %d" % length)
    return b"\r\n".join(lines) + b"\r\n\r\n"


class Network:
    """The links of all instances. Databases have one address for all, since
    instances pass addresses on to each other."""

    def __init__(self):
        self.databases = {}
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def run(self, work):
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(5)

    async def database(self, address):
        if address not in self.databases:
            link = DatabaseLink(address)
            await link.open()
            self.databases.setdefault(address, link)
        return self.databases[address]


class Proxies:
    """The links of one instance. The methods may be called from any thread."""

    def __init__(self, network, name, store):
        self._network = network
        self._name = name
        self._peers = {}
        self.store = StoreLink(store, self)
        network.run(self.store.open())

    def cut_store(self, cut):
        self._network.run(self._cut(self.store, cut))

    def cut_peer(self, address, cut):
        self._network.run(self._cut_peer(address, cut))

    def cut_database(self, address, cut):
        self._network.run(self._cut_database(address, cut))

    async def _cut(self, link, cut):
        link.set_cut(cut)

    async def _cut_peer(self, address, cut):
        (await self._peer(address)).set_cut(cut)

    async def _cut_database(self, address, cut):
        (await self._network.database(address)).cut_for(self._name, cut)

    async def _peer(self, address):
        if address not in self._peers:
            link = Link(address)
            await link.open()
            self._peers.setdefault(address, link)
        return self._peers[address]

    async def rewrite(self, body):
        try:
            document = json.loads(body)
        except ValueError:
            return body
        rows = document if isinstance(document, list) else [document]
        for row in rows:
            items = row.get("items") or row.get("events") or [row]
            for item in items:
                await self._rewrite_item(item)
        return json.dumps(document).encode()

    async def _rewrite_item(self, item):
        key, value = item.get("key"), item.get("value")
        if not isinstance(key, str) or not isinstance(value, str):
            return
        try:
            fields = json.loads(base64.b64decode(value))
        except ValueError:
            return
        if not isinstance(fields, dict):
            return
        peer = fields.get("peer_address", "")
        if key.startswith(SERVER_PREFIX) and "addr" in fields:
            link = await self._network.database(fields["addr"])
            fields["addr"] = link.address
        elif peer.startswith(PEER_SCHEME):
            link = await self._peer(peer[len(PEER_SCHEME):])
            fields["peer_address"] = PEER_SCHEME + link.address
        else:
            return
        item["value"] = base64.b64encode(json.dumps(fields).encode()).decode()
