"""A client of the platform's line protocol for the demo and the tests."""

import itertools
import socket

# Where accounts are configured, one of them holds this key.
DEFAULT_KEY = "tester"


class Refused(Exception):
    """ERR: its code and text."""

    def __init__(self, code, text):
        self.code = code
        super().__init__(f"{code} {text}")


class Session:
    """One session. Raises OSError when it breaks or times out."""

    _numbers = itertools.count(1)

    def __init__(self, address, name, timeout=5.0, key=DEFAULT_KEY):
        host, port = address.rsplit(":", 1)
        self.state, self.position = "", ""
        self._socket = socket.create_connection((host, int(port)), timeout)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = b""
        self._send(f"STARTUP {name} {key}")
        self._answer()

    def ask(self, text):
        """Sends a statement; its rows and DONE's field."""
        self._send(f"QUERY {next(self._numbers):016x} {text}")
        return self._answer()

    def read(self, item):
        """The value of an item."""
        return self.ask(f"READ {item}")[0][0]

    def send(self, line):
        """Sends one line and leaves what it is answered unread."""
        self._send(line)

    def close(self):
        self._socket.close()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def _send(self, line):
        self._socket.sendall(line.encode() + b"\r\n")

    def _answer(self):
        rows, done, error = [], "", None
        while True:
            word, _, rest = self._line().partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "DONE":
                done = rest
            elif word == "ERR":
                error = Refused(*rest.partition(" ")[::2])
                if not self.state:
                    raise error
            elif word == "READY":
                self.state, self.position = rest.split(" ", 1)
                if error:
                    raise error
                return rows, done
            else:
                raise OSError(f"unexpected answer {word}")

    def _line(self):
        while b"\r\n" not in self._buffer:
            got = self._socket.recv(4096)
            if not got:
                raise ConnectionResetError("the session was closed")
            self._buffer += got
        line, self._buffer = self._buffer.split(b"\r\n", 1)
        return line.decode()
