"""A caller of the platform's line protocol that sends whatever it is told to,
in whatever pieces, and judges what came back."""

import itertools
import socket
import time

# Words of the messages with which an instance ends an answer.
READY, ERROR = "READY", "ERR"


class RawCaller:
    """One connection. Never raises for what the other side does."""

    _numbers = itertools.count(1)

    def __init__(self, address, timeout=8.0):
        host, port = address.rsplit(":", 1)
        self._socket = socket.create_connection((host, int(port)), timeout)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffer = b""
        self.lines = []
        self.end = ""  # "closed", "reset" or "silent" once it has ended

    def send(self, *lines):
        """Sends the lines in one piece; False if the connection has ended."""
        return self.send_bytes(b"".join(
            line.encode() + b"\r\n" for line in lines))

    def send_bytes(self, data):
        """Sends bytes as they are; False if the connection has ended."""
        try:
            self._socket.sendall(data)
            return True
        except OSError:
            self.end = self.end or "reset"
            return False

    @classmethod
    def statement(cls, text):
        """A statement with an id of its own."""
        return f"QUERY raw{next(cls._numbers):013x} {text}"

    def read_until(self, enough, limit):
        """Reads for `limit` seconds, until `enough(lines)`, or to the end."""
        deadline = time.monotonic() + limit
        while not self.end and not enough(self.lines):
            left = deadline - time.monotonic()
            if left <= 0:
                return False
            self._socket.settimeout(left)
            try:
                got = self._socket.recv(65536)
            except TimeoutError:
                return False
            except OSError:
                self.end = "reset"
                break
            if not got:
                self.end = "closed"
                break
            self._buffer += got
            *whole, self._buffer = self._buffer.split(b"\r\n")
            self.lines += [line.decode() for line in whole]
        return enough(self.lines)

    def close(self):
        self._socket.close()


def word(line):
    return line.split(" ", 1)[0]


def answers(lines):
    """Complete answers among the lines: those that end with READY."""
    return sum(word(line) == READY for line in lines)


def startup_refused(lines):
    """True if the startup itself was answered with an error."""
    return bool(lines) and word(lines[0]) == ERROR
