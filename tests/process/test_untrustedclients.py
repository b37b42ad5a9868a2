"""Clients that break the rules of HTTP or use up what an instance has, against real entries and agents on loopback."""

import http.client
import json
import sys
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from lab.fleet import HOST, PREFIX  # noqa: E402
from untrusted import FEW_DESCRIPTORS, KILOBYTE, MEGABYTE, Crowd, UntrustedTestCase, wait_until_read  # noqa: E402

SUBMISSION = f"POST {PREFIX}%016x HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 20000\r\n".encode()
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


class UntrustedClientsTest(UntrustedTestCase):
    build = sys.argv.pop(1) if len(sys.argv) > 1 else "build"

    # Guards against default limits that ordinary clients reach: 64 connections at once with the largest requests that such
    # clients send, twice on each connection.
    def test_ordinary_clients_reach_no_limit(self):
        fleet = self.fleet()
        entry = fleet.entries[0]
        crowd = Crowd(self, entry.port("clientListen"), 64)
        body = json.dumps({"spec": "s" * 4_000, "bestEffort": True, "steps": [{"count": 1, "cpu": 100, "estimateMs": 1}]})
        for first in (0x900, 0xa00):
            for number, sender in enumerate(crowd.sockets):
                head = SUBMISSION % (first + number) + f"Content-Length: {262_144}\r\nX-Padding: ".encode()
                single = Crowd(self, 0, 0)
                single.sockets = [sender]
                request = head + b"p" * (16_384 - len(head) - 4) + b"\r\n\r\n" + body.encode().ljust(262_144)
                # All but the last byte, so that the entry holds all requests at once.
                single.send(request[:-1], b"", len(request) - 1)
            wait_until_read(entry.pid())
            for sender in crowd.sockets:
                sender.setblocking(True)
                sender.settimeout(20)
                sender.sendall(b" ")
            statuses = {sender.recv(4096).split()[1] for sender in crowd.sockets}
            # The scheduler may reject jobs, which no limit on input has to do with.
            self.assertLessEqual(statuses, {b"200", b"429"})
            for sender in crowd.sockets:
                sender.setblocking(False)
        connection = http.client.HTTPConnection("127.0.0.1", entry.port("metricsListen"), timeout=10)
        self.addCleanup(connection.close)
        connection.request("GET", "/metrics")
        metrics = connection.getresponse().read().decode()
        self.assertIn("input_rejected_total", metrics)
        self.assertEqual([line for line in metrics.splitlines() if line.startswith("turmericwell_input_rejected_total{")], [])
        self.assert_bounded(fleet, entry)

    # Guards against a read buffer that grows with the trailers behind a chunked body: clients outside anyone's control made
    # an entry run out of memory this way.
    def test_endless_trailers(self):
        fleet = self.fleet()
        crowd = Crowd(self, fleet.entries[0].port("clientListen"), 4)
        crowd.send(SUBMISSION % 1 + CHUNKED + b"2\r\n{}\r\n0\r\n", b"Trailer-Field: 0123456789\r\n" * 2000, 40 * MEGABYTE)
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against a header that is read for as long as the client sends it.
    def test_endless_headers(self):
        fleet = self.fleet()
        crowd = Crowd(self, fleet.entries[0].port("clientListen"), 4)
        crowd.send(SUBMISSION % 2, b"X-Field: 0123456789\r\n" * 2000, 40 * MEGABYTE)
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against a request line or a single header without an end.
    def test_endless_lines(self):
        fleet = self.fleet()
        for first in (b"GET /", SUBMISSION % 3 + b"X-Field: "):
            crowd = Crowd(self, fleet.entries[0].port("clientListen"), 4)
            crowd.send(first, b"a" * 65536, 40 * MEGABYTE)
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against a read buffer that grows with the extension of a chunk.
    def test_endless_chunk_extension(self):
        fleet = self.fleet()
        crowd = Crowd(self, fleet.entries[0].port("clientListen"), 4)
        crowd.send(SUBMISSION % 4 + CHUNKED + b"2;x=", b"a" * 65536, 40 * MEGABYTE)
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against memory for each of many headers that are not complete. The lines are short, since each takes memory of
    # its own when it is kept in parsed form.
    def test_many_incomplete_headers(self):
        fleet = self.fleet()
        crowd = Crowd(self, fleet.entries[0].port("clientListen"), 500)
        crowd.send(SUBMISSION % 5, b"a:\r\n" * 2000, 8 * KILOBYTE - 16)
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against memory for many bodies that are not complete, of which each is within the limit of a body.
    def test_many_large_bodies(self):
        fleet = self.fleet()
        size = MEGABYTE - 1
        crowd = Crowd(self, fleet.entries[0].port("clientListen"), 200)
        crowd.send(SUBMISSION % 6 + f"Content-Length: {size}\r\n\r\n".encode(), b" " * 65536, size)
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against answers that pile up for clients that send requests and never read.
    def test_pipelined_requests_without_reading(self):
        fleet = self.fleet()
        crowd = Crowd(self, fleet.entries[0].port("clientListen"), 150)
        crowd.send(b"", f"GET {PREFIX}0000000000000001 HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode() * 100, 4 * MEGABYTE, 8)
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against the same towards the answers of the metrics port, which are larger.
    def test_metrics_without_reading(self):
        fleet = self.fleet()
        crowd = Crowd(self, fleet.entries[0].port("metricsListen"), 50)
        crowd.send(b"", b"GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n" * 100, MEGABYTE, 5)
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against a parser that recurses, or takes memory, with the depth of a body.
    def test_deeply_nested_json(self):
        fleet = self.fleet()
        for opening in (b"[", b'{"a":'):
            body = opening * (900_000 // len(opening))
            crowd = Crowd(self, fleet.entries[0].port("clientListen"), 20)
            request = SUBMISSION % 7 + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            crowd.send(request, b"", len(request))
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against memory for open submissions: each waits for its end, and holds as much text as a body can have.
    def test_many_open_submissions(self):
        fleet = self.fleet(task_ms=lambda task: 20_000 if task.startswith("0000") else 50)
        crowd = Crowd(self, fleet.entries[0].port("clientListen"), 150)
        step = {"count": 1, "cpu": 1, "memMb": 1, "estimateMs": 1, "image": "i" * (900 * KILOBYTE)}
        body = json.dumps({"spec": "s", "bestEffort": True, "steps": [step]}).encode()
        for number, sender in enumerate(crowd.sockets):
            single = Crowd(self, 0, 0)
            single.sockets = [sender]
            request = SUBMISSION % (0x700 + number) + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            single.send(request, b"", len(request))
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against memory for tasks that a few bytes ask for: the second step of each job has 10,000 tasks of no size, and
    # cannot start before the first one has ended.
    def test_many_tasks_of_no_size(self):
        fleet = self.fleet(task_ms=lambda task: 20_000 if task.startswith("0000") else 50)
        crowd = Crowd(self, fleet.entries[0].port("clientListen"), 120)
        steps = [{"count": 1, "estimateMs": 1}, {"count": 9_999, "estimateMs": 1, "after": [0]}]
        body = json.dumps({"spec": "s", "bestEffort": True, "steps": steps}).encode()
        for number, sender in enumerate(crowd.sockets):
            single = Crowd(self, 0, 0)
            single.sockets = [sender]
            request = SUBMISSION % (0x800 + number) + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
            single.send(request, b"", len(request))
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against an entry that accepts no ordinary client while others hold its descriptors.
    def test_more_connections_than_descriptors(self):
        fleet = self.fleet(most_descriptors=FEW_DESCRIPTORS)
        entry = fleet.entries[0]
        crowd = Crowd(self, entry.port("clientListen"), 2 * FEW_DESCRIPTORS)
        crowd.send(SUBMISSION % 8, b"", len(SUBMISSION % 8))
        self.assert_bounded(fleet, entry, FEW_DESCRIPTORS)

    # Guards against the trailers at the ports that are not meant for clients.
    def test_endless_trailers_at_the_other_ports(self):
        fleet = self.fleet()
        entry, agent = fleet.entries[0], fleet.agents[0]
        for process, setting in ((entry, "readyListen"), (entry, "metricsListen"), (agent, "controlListen"),
                                 (agent, "metricsListen")):
            with self.subTest(f"{process.name} {setting}"):
                crowd = Crowd(self, process.port(setting), 4)
                crowd.send(b"POST / HTTP/1.1\r\nHost: x\r\n" + CHUNKED + b"2\r\n{}\r\n0\r\n",
                           b"Trailer-Field: 0123456789\r\n" * 2000, 40 * MEGABYTE)
                self.assert_bounded(fleet, process)

    # Guards against memory for a frame that is announced and never sent, on connections that have not introduced themselves.
    def test_announced_frames_at_the_peer_ports(self):
        fleet = self.fleet()
        # A frame of 8 MB, the most that the protocol allows, in version 1.
        header = (8 * MEGABYTE).to_bytes(4, "little") + (1).to_bytes(2, "little")
        for process in (fleet.entries[0], fleet.agents[0]):
            with self.subTest(process.name):
                crowd = Crowd(self, process.port("peerListen"), 40)
                crowd.send(header + b"x", b"", len(header) + 1)
                self.assert_bounded(fleet, process)

    # Guards against connections between processes that stay open although nobody introduces itself on them.
    def test_silent_connections_at_the_peer_ports(self):
        fleet = self.fleet()
        for process in (fleet.entries[0], fleet.agents[0]):
            with self.subTest(process.name):
                Crowd(self, process.port("peerListen"), 400)
                time.sleep(0.5)
                # As many as may wait to be introduced, and those of ordinary work.
                self.assert_bounded(fleet, process, 350)


if __name__ == "__main__":
    unittest.main()
