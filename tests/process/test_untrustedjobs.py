"""Jobs and cancels of clients that nobody controls, after the requests were taken: what an entry and an agent keep of them."""

import json
import socket
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from lab.fleet import HOST, PREFIX  # noqa: E402
from untrusted import FEW_DESCRIPTORS, Crowd, UntrustedTestCase  # noqa: E402

# Longer than the test, so that only the process can end the job.
LONG_MS = 600_000
# Identifiers of the crowd begin with this prefix, which the worker knows its tasks by.
CROWD_PREFIX = "0000"


def crowd_request(method, number, body=b""):
    head = f"{method} {PREFIX}{number:016x} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: {LONG_MS}\r\n"
    return head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def job_body(best_effort=True, spec="s", **step):
    step = {"count": 1, "cpu": 1000, "memMb": 64, "estimateMs": LONG_MS, **step}
    body = {"spec": spec, "steps": [step]}
    if best_effort:
        body["bestEffort"] = True
    return json.dumps(body).encode()


def crowd_task_ms(task):
    return LONG_MS if task.startswith(CROWD_PREFIX) else 50


def exchange(port, requests):
    """Sends the requests on one connection in groups, and returns the status codes of the answers."""
    statuses, received = [], b""
    with socket.create_connection(("127.0.0.1", port), timeout=20) as connection:
        for begin in range(0, len(requests), 50):
            group = requests[begin:begin + 50]
            connection.sendall(b"".join(group))
            while received.count(b"HTTP/1.1 ") < len(group) or not received.endswith(b"}"):
                data = connection.recv(65536)
                if not data:
                    raise ConnectionError("closed by the entry")
                received += data
            statuses += [int(answer[:3]) for answer in received.split(b"HTTP/1.1 ")[1:]]
            received = b""
    return statuses


class UntrustedJobsTest(UntrustedTestCase):
    build = sys.argv.pop(1) if len(sys.argv) > 1 else "build"

    def submit_and_leave(self, port, count, first, body, requests=1):
        """Sends submissions on `count` connections, `requests` on each, and closes them without waiting."""
        crowd = Crowd(self, port, count)
        for number, sender in enumerate(crowd.sockets):
            single = Crowd(self, 0, 0)
            single.sockets = [sender]
            data = b"".join(crowd_request("POST", first + number * requests + item, body) for item in range(requests))
            single.send(data, b"", len(data))
        for sender in crowd.sockets:
            sender.close()

    # Guards against jobs that keep the workers busy although the clients that wait for them have closed their connections:
    # twenty such clients left nothing to the others until the deadlines of their requests were over.
    def test_jobs_of_clients_that_have_left(self):
        fleet = self.fleet(task_ms=crowd_task_ms)
        self.submit_and_leave(fleet.entries[0].port("clientListen"), 20, 0x100, job_body(), requests=8)
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against the same for jobs that another entry owns.
    def test_forwarded_jobs_of_clients_that_have_left(self):
        fleet = self.fleet(entries=2, task_ms=crowd_task_ms)
        for entry in fleet.entries:
            self.submit_and_leave(entry.port("clientListen"), 40, 0x1000, job_body())
        self.assert_bounded(fleet, fleet.entries[0])

    # Guards against descriptors that are held for clients that have left: with all of them in use, the entry accepts nobody.
    def test_connections_of_clients_that_have_left(self):
        fleet = self.fleet(most_descriptors=FEW_DESCRIPTORS, task_ms=crowd_task_ms)
        entry = fleet.entries[0]
        body = job_body(cpu=1, memMb=1)
        for first in (0x1000, 0x2000):
            self.submit_and_leave(entry.port("clientListen"), FEW_DESCRIPTORS, first, body)
        self.assert_bounded(fleet, entry, FEW_DESCRIPTORS)

    # Guards against an entry whose connections are all taken by clients that wait for their answers.
    def test_clients_that_wait_for_long(self):
        fleet = self.fleet(most_descriptors=FEW_DESCRIPTORS, task_ms=crowd_task_ms)
        entry = fleet.entries[0]
        crowd = Crowd(self, entry.port("clientListen"), 2 * FEW_DESCRIPTORS)
        body = job_body(cpu=1, memMb=1)
        for number, sender in enumerate(crowd.sockets):
            single = Crowd(self, 0, 0)
            single.sockets = [sender]
            request = crowd_request("POST", 0x3000 + number, body)
            single.send(request, b"", len(request))
        self.assert_bounded(fleet, entry, FEW_DESCRIPTORS)

    # Guards against tasks of no size that all start at once: the orders carry the text of the job, and a worker lists a
    # bounded number of ends.
    def test_many_ready_tasks_of_no_size(self):
        fleet = self.fleet(task_ms=crowd_task_ms)
        entry, agent = fleet.entries[0], fleet.agents[0]
        crowd = Crowd(self, entry.port("clientListen"), 8)
        body = job_body(spec="s" * 4_000, count=9_999, cpu=0, memMb=0)
        for number, sender in enumerate(crowd.sockets):
            single = Crowd(self, 0, 0)
            single.sockets = [sender]
            request = crowd_request("POST", 0x4000 + number, body)
            single.send(request, b"", len(request))
        self.assert_bounded(fleet, agent)
        self.assert_bounded(fleet, entry)

    # Guards against a cancel that is acknowledged and then forgotten, because many cancels of unknown jobs came after it: the
    # job would run when its submission arrives.
    def test_acknowledged_cancel_beside_many_cancels(self):
        fleet = self.fleet()
        entry = fleet.entries[0]
        job = "5ca1ab1e00000001"
        status, _ = fleet.call("DELETE", job)
        self.assertIn(status, (200, 410))
        first = 0x6000_0000
        for begin in range(0, 24_000, 6_000):
            requests = [crowd_request("DELETE", first + begin + number) for number in range(6_000)]
            self.assertLessEqual(set(exchange(entry.port("clientListen"), requests)), {200, 410, 429, 503})
        status, _ = fleet.submit(job, best_effort=True, timeout=3)
        self.assertEqual(status, 410)
        self.assertEqual([row for row in fleet.history if row[2].startswith(job)], [])
        self.assert_bounded(fleet, entry)


if __name__ == "__main__":
    unittest.main()
