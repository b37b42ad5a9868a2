"""Callers that nobody controls, against the entry of the project's own interface."""

import resource
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from lab.cluster import Cluster, http_call  # noqa: E402
from untrusted import (FEW_DESCRIPTORS, KILOBYTE, MEGABYTE, MOST_RESIDENT_MB, Crowd, descriptors,  # noqa: E402
                       status_value, wait_until_read)

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"


class UntrustedCallersTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(BUILD, entries=1, workers=2)
        self.cluster.start()
        self.addCleanup(self.cluster.kill_all)
        self.entry = self.cluster.processes[self.cluster.entry_specs[0]["name"]]
        self.port = self.cluster.caller_port(self.cluster.entry_specs[0]["name"])

    def assert_bounded(self, most_descriptors=3_075):
        pid = self.entry.popen.pid
        self.assertTrue(self.entry.is_running())
        wait_until_read(pid)
        peak, resident = (status_value(pid, key) // KILOBYTE for key in ("VmHWM", "VmRSS"))
        opened = descriptors(pid)
        print(f"{self.id().rpartition('.')[2]}: peak {peak} MB, resident {resident} MB, {opened} descriptors")
        self.assertLess(peak, MOST_RESIDENT_MB)
        self.assertLess(opened, most_descriptors)
        self.assert_serves()

    def assert_serves(self):
        service = self.cluster.deployment["service"]
        status, answer = http_call(self.port, "POST", f"/v1/services/{service}/requests",
                                   {"call": "unlock", "payload": {"ms": 20}}, {"Idempotency-Key": "ordinary"}, timeout=20)
        self.assertEqual((status, answer["outcome"]), (200, "complete"))

    # Guards against memory for many bodies that are read at the same time, each within the limit of a body.
    def test_many_large_bodies(self):
        size = 4 * MEGABYTE - 1
        crowd = Crowd(self, self.port, 100)
        head = f"POST /v1/jobs HTTP/1.1\r\nHost: entry\r\nContent-Length: {size}\r\n\r\n".encode()
        crowd.send(head, b" " * 65536, size)
        self.assert_bounded()

    # Guards against more connections than the process has descriptors, and against their memory.
    def test_many_connections(self):
        resource.prlimit(self.entry.popen.pid, resource.RLIMIT_NOFILE, (FEW_DESCRIPTORS, FEW_DESCRIPTORS))
        crowd = Crowd(self, self.port, 2 * FEW_DESCRIPTORS)
        first = b"GET /v1/show HTTP/1.1\r\nX: "
        crowd.send(first, b"", len(first))
        self.assert_bounded(FEW_DESCRIPTORS)


if __name__ == "__main__":
    unittest.main()
