"""Connections to the ports between processes by somebody who speaks their protocol and is none of them."""

import socket
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from untrusted import MEGABYTE, Crowd, UntrustedTestCase  # noqa: E402

FRAME_HEADER_BYTES = 6


def receive(connection, count):
    data = b""
    while len(data) < count:
        part = connection.recv(count - len(data))
        if not part:
            raise ConnectionError("closed by the process")
        data += part
    return data


def hello_of(process):
    """The first frame that the process sends on a connection: its introduction."""
    with socket.create_connection(("127.0.0.1", process.port("peerListen")), timeout=10) as connection:
        header = receive(connection, FRAME_HEADER_BYTES)
        return header + receive(connection, int.from_bytes(header[:4], "little"))


class UntrustedPeersTest(UntrustedTestCase):
    build = sys.argv.pop(1) if len(sys.argv) > 1 else "build"

    # Guards against the long frames that a process may send once it has introduced itself: anybody can introduce himself under
    # any name, many times.
    def test_long_frames_of_introduced_strangers(self):
        fleet = self.fleet()
        # Of the greatest length that the protocol allows, in version 1.
        frame_header = (8 * MEGABYTE).to_bytes(4, "little") + (1).to_bytes(2, "little")
        for attacked, introduced in ((fleet.entries[0], fleet.entries[0]), (fleet.agents[0], fleet.entries[0])):
            with self.subTest(attacked.name):
                hello = hello_of(introduced)
                name = introduced.name.encode()
                self.assertEqual(hello.count(name), 1)
                crowd = Crowd(self, attacked.port("peerListen"), 60)
                for number, sender in enumerate(crowd.sockets):
                    single = Crowd(self, 0, 0)
                    single.sockets = [sender]
                    first = hello.replace(name, f"x{number:06d}".encode()) + frame_header
                    single.send(first, b"x" * 65536, 4 * MEGABYTE, 3)
                self.assert_bounded(fleet, attacked)


if __name__ == "__main__":
    unittest.main()
