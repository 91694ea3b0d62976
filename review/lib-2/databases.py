"""Stand-in of a service's databases: a primary and replicas over the line
protocol, with replication, promotions and heartbeats into the store."""

import json
import socket
import threading
import time

DELIVERY_S = 0.005
LAG_S = 0.02
PROMOTE_S = 0.6
YIELD_S = 1.0        # an old primary that reaches the new one follows it
WORK_S = 0.002
HANDSHAKE_S = 0.012
STATUS_S = 0.0005
BEAT_S = 1.2
SLOTS = 3
QUEUE = 24           # statements that wait for a slot; more are told BUSY
MAX_CONNECTIONS = 23


class Database:
    def __init__(self, service, number, zone):
        self.service, self.zone = service, zone
        self.id = f"i-{service.name}-{number}"
        self.primary = number == 1
        self.running, self.draining = True, False
        self.term, self.log, self.held = 1, [], 0
        self.values, self.paused = {}, 0
        self.born = int(time.time() * 1000)
        self.connections, self.sequence = 0, 0
        self.slots = threading.Semaphore(SLOTS)
        self.waiting, self.deaf = 0, False
        self.links = set()
        self.said, self.written = None, 0.0
        self.listen(0)

    def listen(self, port):
        self.listener = socket.create_server(("127.0.0.1", port), backlog=256)
        self.port = self.listener.getsockname()[1]
        self.addr = "127.0.0.1:%d" % self.port
        threading.Thread(target=self._accept, args=(self.listener,),
                         daemon=True).start()

    def _accept(self, listener):
        while True:
            try:
                link, _ = listener.accept()
            except OSError:
                return
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=Connection(self, link).run,
                             daemon=True).start()

    def crash(self):
        """Says nothing more; its port refuses connections."""
        with self.service.lock:
            self.service.advance()
            self.running = False
            links = list(self.links)
        # Wakes the thread that accepts; closing alone would not.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for link in links:
            try:
                link.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.service.note("crash", self.id)

    def start_again(self):
        """Comes back with its log, as a replica if another was promoted."""
        with self.service.lock:
            self.service.advance()
            self.primary = (self.primary and
                            self.term == self.service.newest_term())
            self.running, self.said = True, None
        self.listen(self.port)
        self.service.note("return", f"{self.id} primary={self.primary}")

    def work(self, seconds):
        """Takes a slot; false if too many wait for one."""
        with self.service.lock:
            if self.waiting >= QUEUE:
                return False
            self.waiting += 1
        with self.slots:
            with self.service.lock:
                self.waiting -= 1
            time.sleep(seconds)
        return True

    def position(self):
        return f"{self.term}.{self.held}"

    def beat(self, store):
        """Writes the entry every beat and at each change."""
        now = time.monotonic()
        said = {"service": self.service.name, "addr": self.addr,
                "zone": self.zone, "version": "v1", "slots": SLOTS,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0,
                "dbRole": "primary" if self.primary else "replica",
                "born": self.born}
        if said == self.said and now - self.written < BEAT_S:
            return
        said_before = self.said
        self.sequence += 1
        text = json.dumps({**said, "seq": self.sequence}).encode()
        # The entry changes only when more than its seq does.
        listed = said == said_before and store.get("servers/" + self.id)
        if not listed and store.put("servers/" + self.id, text) is None:
            return
        if said_before and said["state"] != said_before["state"]:
            self.service.note("entry", self.id + " says " + said["state"])
        self.said, self.written = said, now


class Service:
    def __init__(self, name, zones, journal, sync=0):
        self.name, self.journal, self.sync = name, journal, sync
        self.read_s = WORK_S
        self.committed = {}   # id of a statement -> number of its commit
        self.taken_over = []  # (time, id of the database, commits in its log)
        self.lock = threading.RLock()
        self.databases = []
        self.databases = [Database(self, n + 1, zones[n]) for n in range(3)]
        self.led_since = time.monotonic()
        self.due = []       # (when, database)
        self.last_id = 0

    def note(self, what, text):
        self.journal(what, f"{self.name} {text}")

    def newest_term(self):
        return max(d.term for d in self.databases)

    def leader(self):
        led = [d for d in self.databases if d.primary and d.running]
        return max(led, key=lambda d: d.term, default=None)

    def advance(self):
        """Brings replication and promotions up to now."""
        now = time.monotonic()
        for when, one in [d for d in self.due if d[0] <= now]:
            self.due.remove((when, one))
            if one.running and not (one.primary and
                                    one.term == self.newest_term()):
                one.term = self.newest_term() + 1
                one.primary, self.led_since = True, now
                for entry in one.log[one.held:]:
                    one.values.update(entry[2])
                one.held = len(one.log)
                self.taken_over.append((now, one.id, {e[0] for e in one.log}))
                for each in self.databases:
                    each.paused = 0
                self.note("promoted", f"{one.id} leads term {one.term} from "
                          f"{len(one.log)}")
        leader = self.leader()
        if leader is None:
            return
        for one in self.databases:
            if one is leader or not one.running:
                continue
            if one.primary and now - self.led_since >= YIELD_S:
                one.primary = False
            if one.primary or one.paused or one.deaf:
                continue
            if one.term != leader.term:
                same = 0
                for a, b in zip(one.log, leader.log):
                    if a[0] != b[0]:
                        break
                    same += 1
                del one.log[same:]
                one.term = leader.term
                if one.held > same:
                    one.held, one.values = 0, {}
            while (len(one.log) < len(leader.log) and
                   leader.log[len(one.log)][1] + DELIVERY_S <= now):
                one.log.append(leader.log[len(one.log)])
            while (one.held < len(one.log) and
                   one.log[one.held][1] + LAG_S <= now):
                one.values.update(one.log[one.held][2])
                one.held += 1

    def is_received(self, number, primary):
        """True once enough replicas have received a commit."""
        with self.lock:
            self.advance()
            holders = sum(1 for d in self.databases if d is not primary and
                          any(e[0] == number for e in reversed(d.log)))
            return holders >= self.sync

    def commit(self, one, writes, statement):
        self.last_id += 1
        self.committed[statement] = self.last_id
        one.log.append((self.last_id, time.monotonic(), writes))
        one.values.update(writes)
        one.held = len(one.log)

    def promote(self, identity):
        """The answer's status, as the platform gives it."""
        with self.lock:
            self.advance()
            one = next((d for d in self.databases if d.id == identity), None)
            if one is None or not one.running:
                return 409
            if not (one.primary and one.term == self.newest_term()):
                self.due.append((time.monotonic() + PROMOTE_S, one))
            return 200


class Gone(Exception):
    pass


class Connection:
    """One connection to a database."""

    def __init__(self, database, link):
        self.db, self.link = database, link
        self.state, self.term, self.writes = "I", 0, {}
        self.reads_only = False
        self.names, self.buffer = {}, b""

    def run(self):
        with self.db.service.lock:
            self.db.connections += 1
            self.db.links.add(self.link)
        try:
            self.serve()
        except (OSError, Gone):
            pass
        finally:
            with self.db.service.lock:
                self.db.connections -= 1
                self.db.links.discard(self.link)
            self.link.close()

    def line(self):
        while b"\r\n" not in self.buffer:
            got = self.link.recv(65536)
            if not got:
                raise Gone
            self.buffer += got
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line.decode("utf-8", "surrogateescape")

    def send(self, *lines):
        if not self.db.running:
            raise Gone
        self.link.sendall("".join(l + "\r\n" for l in lines)
                          .encode("utf-8", "surrogateescape"))

    def serve(self):
        words = self.line().split(" ")
        right = (words[0] == "STARTUP" and words[1] == self.db.service.name and
                 (len(words) < 4 or words[3] == self.db.id))
        if not right:
            self.send("ERR MISROUTED " + self.db.id)
            return
        if self.db.connections > MAX_CONNECTIONS:
            self.send("ERR TOOMANY " + self.db.id)
            return
        self.db.work(HANDSHAKE_S)
        with self.db.service.lock:
            self.db.service.advance()
            position = self.db.position()
        self.send("READY I " + position)
        while True:
            word, _, rest = self.line().partition(" ")
            if word != "QUERY":
                return
            identity, _, text = rest.partition(" ")
            self.send(*self.answer(identity, text))

    def answer(self, identity, text):
        verb = text.split(" ", 1)[0]
        seconds = {"READ": self.db.service.read_s, "AFTER":
                   self.db.service.read_s, "EXEC": self.db.service.read_s,
                   "WRITE": WORK_S, "COMMIT": WORK_S, "STATUS": STATUS_S}
        if verb in seconds and not self.db.work(seconds[verb]):
            return [*self.refuse("BUSY"),
                    f"READY {self.state} {self.db.position()}"]
        service = self.db.service
        with service.lock:
            service.advance()
            if not self.db.running:
                raise Gone
            before = service.last_id
            lines = self.run_statement(identity, text)
            number = service.last_id if service.last_id != before else None
            ready = f"READY {self.state} {self.db.position()}"
        while number and not service.is_received(number, self.db):
            if not self.db.running:
                raise Gone
            time.sleep(0.001)
        return [*lines, ready]

    def refuse(self, code):
        if self.state == "T":
            self.state, self.writes = "E", {}
        return [f"ERR {code} {self.db.id}"]

    def leads(self):
        return self.db.primary and self.db.term == self.term

    def run_statement(self, identity, text):
        db = self.db
        if text.startswith("AFTER "):
            _, point, text = text.split(" ", 2)
            term, number = map(int, point.split("."))
            if (db.term, db.held) < (term, number) or db.held < number:
                return self.refuse("LAGGING")
        words = text.split(" ")
        verb = words[0]
        if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            if verb == "PAUSE" and not db.primary and (
                    int(words[1]) > db.service.newest_term()):
                db.paused = max(db.paused, int(words[1]))
            if verb == "RESUME":
                db.paused = 0
            if verb == "STEPDOWN" and db.primary and db.term < int(words[1]):
                db.primary = False
            role = "primary" if db.primary else "replica"
            return [f"ROW {role} {db.term} {db.term}.{len(db.log)} {db.paused} "
                    f"{0 if db.primary else 20} 0 {db.connections}", "DONE -"]
        if verb == "RESET":
            self.names = {}
            return ["DONE -"]
        if self.state == "E" and verb not in ("COMMIT", "ROLLBACK"):
            return ["ERR BADMSG the transaction has failed"]
        if verb == "SET":
            return ["DONE -"]
        if verb == "PREPARE":
            self.names[words[1]] = (words[2], " ".join(words[3:]))
            return ["DONE -"]
        if verb == "DEALLOC":
            self.names.pop(words[1], None)
            return ["DONE -"]
        if verb == "BEGIN":
            self.reads_only = words[1:] == ["READ"]
            if not self.reads_only and not db.primary:
                return self.refuse("READONLY")
            self.state, self.term, self.writes = "T", db.term, {}
            return ["DONE -"]
        if verb == "ROLLBACK":
            self.state, self.writes = "I", {}
            return ["DONE -"]
        signature = f"DONE s.{identity}.{db.id}.{db.service.last_id}"
        if verb == "COMMIT":
            failed, writes = self.state == "E", self.writes
            self.state, self.writes = "I", {}
            if failed:
                return ["DONE -"]
            if writes:
                if not self.leads():
                    return [f"ERR READONLY {db.id}"]
                db.service.commit(db, writes, identity)
                db.service.note("ran", f"{identity} COMMIT at {db.id} "
                                f"{db.position()}")
            return [signature]
        if verb == "EXEC":
            if words[1] not in self.names:
                return self.refuse("NOSTMT")
            verb, words = self.names[words[1]][0], words[1:]
        if verb == "READ":
            return ["ROW " + db.values.get(words[1], ""), signature]
        if verb == "WRITE":
            if self.state == "T":
                if not self.leads():
                    return self.refuse("READONLY")
                self.writes[words[1]] = " ".join(words[2:])
                return [signature]
            if not db.primary:
                return self.refuse("READONLY")
            db.service.commit(db, {words[1]: " ".join(words[2:])},
                              identity)
            db.service.note("ran", f"{identity} WRITE {words[1]} at {db.id} "
                            f"{db.position()}")
            return [signature]
        return ["ERR BADMSG unknown statement"]
