"""Stand-in of the platform's metadata store, with drills.

A drill: the store is away for a moment, comes back from a copy some seconds
old, and raises Store-Era. Reserved keys that operators and databases wrote
meanwhile are written again.
"""

import base64
import json
import socket
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ANSWER_S = 0.004
COPY_INTERVAL_S = 0.1
COPIES_KEPT_S = 12
PAGE = 500


class Store:
    """Keys, leases, history and copies. Revisions start above 0."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}       # key -> (value, rev, created, lease)
        self.leases = {}      # id -> [ttl_s, deadline]
        self.history = []     # (rev, key, item or None)
        self.revision = 1
        self.era = 1
        self.next_lease = 1
        self.copies = []
        self.away = None      # None, "silent"
        self.generation = 0   # rises when connections of before go silent
        threading.Thread(target=self._tick, daemon=True).start()

    # Internal calls, under the lock.
    def _record(self, key, item):
        self.history.append((self.revision, key, item))
        self.changed.notify_all()

    def _put(self, key, value, lease):
        old = self.items.get(key)
        self.items[key] = (value, self.revision,
                           old[2] if old else self.revision, lease)
        self._record(key, self.items[key])

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self._record(key, None)
            return True
        return False

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [k for k, v in self.items.items() if v[3] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
        return True

    def _tick(self):
        while True:
            time.sleep(0.02)
            now = time.monotonic()
            with self.changed:
                if self.away:
                    continue
                for lease in [i for i, (_, end) in self.leases.items()
                              if end <= now]:
                    self._end_lease(lease)
                if not self.copies or now - self.copies[-1][0] >= COPY_INTERVAL_S:
                    self.copies.append((now, dict(self.items), {
                        i: ttl for i, (ttl, _) in self.leases.items()},
                        self.revision, self.next_lease))
                while now - self.copies[0][0] > COPIES_KEPT_S:
                    self.copies.pop(0)

    # What operators and databases do.
    def put(self, key, value):
        """Writes a reserved key; returns the revision, or None while away."""
        with self.changed:
            if self.away:
                return None
            self.revision += 1
            self._put(key, value, 0)
            return self.revision

    def remove(self, key):
        with self.changed:
            if self.away:
                return False
            self.revision += 1
            return self._remove(key)

    def get(self, key):
        with self.changed:
            return self.items.get(key)

    def find(self, ending):
        with self.changed:
            return [(k, v) for k, v in self.items.items() if k.endswith(ending)]

    def leave(self):
        """The store is away from now on; nothing is answered."""
        with self.changed:
            self.away = "silent"
            self.generation += 1
            self.left_at = time.monotonic()
            self.changed.notify_all()

    def come_back(self, age_s):
        """Comes back from a copy that is `age_s` older than when it left."""
        with self.changed:
            lost, lost_revision = dict(self.items), self.revision
            if age_s is not None:
                copy = [c for c in self.copies
                        if c[0] <= self.left_at - age_s][-1]
                _, items, leases, self.revision, self.next_lease = copy
                self.items = dict(items)
                now = time.monotonic()
                self.leases = {i: [ttl, now + ttl] for i, ttl in leases.items()}
                self.history = [h for h in self.history if h[0] <= self.revision]
                self.copies = []
                self.era += 1
                for key, item in lost.items():
                    if key.startswith(("op/", "servers/")) and (
                            self.items.get(key, (None,))[0] != item[0]):
                        self.revision += 1
                        self._put(key, item[0], 0)
                for key in [k for k in self.items if k not in lost and
                            k.startswith(("op/", "servers/"))]:
                    self.revision += 1
                    self._remove(key)
            self.away = None
            return lost_revision, self.revision


def item_json(key, item):
    value, rev, created, lease = item
    return {"key": key, "value": base64.b64encode(value).decode(), "rev": rev,
            "created": created, "lease": lease}


def make_handler(store, promote):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *_):
            pass

        def park(self):
            """No answer, now or later, until the other side closes."""
            try:
                self.connection.settimeout(60)
                while self.connection.recv(4096):
                    pass
            except OSError:
                pass
            self.close_connection = True

        def setup(self):
            super().setup()
            self.connection.setsockopt(socket.IPPROTO_TCP,
                                       socket.TCP_NODELAY, 1)

        def say(self, status, body):
            data = json.dumps(body).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.send_header("Store-Era", str(store.era))
            self.end_headers()
            self.wfile.write(data)

        def handle_call(self):
            length = int(self.headers.get("Content-Length") or 0)
            body = json.loads(self.rfile.read(length)) if length else {}
            parts = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(parts.query,
                                                keep_blank_values=True))
            if parts.path == "/promote":
                self.say(*promote(body, self.headers))
                return
            generation = store.generation
            if store.away:
                self.park()
                return
            time.sleep(ANSWER_S)
            status, answer = self.call(parts.path, query, body, generation)
            if status is None or generation != store.generation:
                self.park()
                return
            self.say(status, answer)

        do_GET = do_POST = do_DELETE = handle_call

        def call(self, path, query, body, generation):
            with store.changed:
                if store.away:
                    return None, None
                if path == "/api/kv-key":
                    item = store.items.get(query["key"])
                    if item is None:
                        return 404, {"storeRevision": store.revision}
                    return 200, {**item_json(query["key"], item),
                                 "storeRevision": store.revision}
                if path == "/api/kv-range":
                    keys = sorted(k for k in store.items
                                  if k.startswith(query.get("prefix", "")) and
                                  k > query.get("after", ""))
                    return 200, {"items": [item_json(k, store.items[k])
                                           for k in keys[:PAGE]],
                                 "hasMore": len(keys) > PAGE,
                                 "storeRevision": store.revision}
                if path == "/api/kv-watch":
                    return self.watch(query, generation)
                if path == "/api/kv-txn":
                    return self.transact(body)
                if path == "/api/kv-lease":
                    lease, ttl = store.next_lease, body["ttlMs"] / 1000
                    store.next_lease += 1
                    store.leases[lease] = [ttl, time.monotonic() + ttl]
                    return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
                number = int(path.rsplit("/", 1)[1])
                if path.startswith("/api/kv-keep/"):
                    if number not in store.leases:
                        return 404, {}
                    ttl = store.leases[number][0]
                    store.leases[number][1] = time.monotonic() + ttl
                    return 200, {"ttlMs": int(ttl * 1000)}
                if path.startswith("/api/kv-lease-end/"):
                    return (200, {}) if store._end_lease(number) else (404, {})
                return 404, {}

        def watch(self, query, generation):
            after, prefix = int(query["after"]), query.get("prefix", "")
            end = time.monotonic() + int(query["waitMs"]) / 1000
            if after > store.revision:
                return 410, {}
            while True:
                if store.away or generation != store.generation:
                    return None, None
                events = []
                for rev, key, item in reversed(store.history):
                    if rev <= after:
                        break
                    if key.startswith(prefix):
                        events.append(item_json(key, item) if item else
                                      {"key": key, "rev": rev, "tombstone": True})
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events[::-1],
                                 "storeRevision": store.revision}
                store.changed.wait(left)

        def transact(self, body):
            expect = body.get("expect", [])
            for row in expect:
                item = store.items.get(row["key"])
                if (item[1] if item else 0) != row["rev"]:
                    return 412, {"items": [
                        item_json(r["key"], store.items[r["key"]])
                        for r in expect if r["key"] in store.items]}
            puts, removes = body.get("setKeys", []), body.get("remove", [])
            if any(p["key"].startswith(("op/", "servers/")) for p in puts):
                return 403, {}
            if any(p.get("lease") and p["lease"] not in store.leases
                   for p in puts):
                return 404, {}
            store.revision += 1
            for p in puts:
                store._put(p["key"], base64.b64decode(p["value"]),
                           p.get("lease") or 0)
            for key in removes:
                store._remove(key)
            return 200, {"rev": store.revision}

    return Handler


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """A client that has closed or reset its connection."""


def serve(store, promote):
    """Starts the HTTP server; returns its address."""
    server = Server(("127.0.0.1", 0), make_handler(store, promote))
    threading.Thread(target=server.serve_forever, args=(0.05,),
                     daemon=True).start()
    return "127.0.0.1:%d" % server.server_address[1]
