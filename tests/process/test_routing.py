"""Routing with real processes: a target that fails at once must not attract the load."""

import http.client
import http.server
import json
import sys
import threading
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))
from lab.cluster import Cluster, http_call, wait_until  # noqa: E402

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"


class FailingTarget:
    """Announces itself as a target and answers each task with 500 without running it."""

    def __init__(self, cluster, spec):
        self.tasks = 0
        target = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                self.rfile.read(int(self.headers["Content-Length"]))
                target.tasks += 1
                self.send_response(500)
                self.send_header("Content-Length", "2")
                self.end_headers()
                self.wfile.write(b"{}")

            def log_message(self, *_):
                pass

        self._server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self._agent = cluster.port(f"agent-{spec['name']}")
        deployment = cluster.deployment
        self._announcement = {
            "target": spec["name"], "service": deployment["service"], "slots": deployment["slots"],
            "connections": deployment["connections"], "cores": deployment["cores"],
            "memoryGb": deployment["memoryGb"], "rack": spec["rack"], "state": "up",
            "address": f"127.0.0.1:{self._server.server_address[1]}",
        }
        self._ended = threading.Event()
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()

    def _announce(self):
        while not self._ended.is_set():
            try:
                http_call(self._agent, "POST", "/v1/announce", self._announcement)
            except OSError:
                pass  # The agent is not listening yet.
            self._ended.wait(1)

    def stop(self):
        self._ended.set()
        self._server.shutdown()
        self._server.server_close()


class RoutingCluster(Cluster):
    """The first worker, which is in the zone of the entry and so is preferred, has a failing target."""

    failing = None

    def start_target(self, spec):
        if spec is self.worker_specs[0]:
            self.failing = FailingTarget(self, spec)
            return None
        return super().start_target(spec)

    def text(self, path):
        connection = http.client.HTTPConnection("127.0.0.1", self.port("entry-1"), timeout=10)
        try:
            connection.request("GET", path)
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def events(self, kind):
        events = map(json.loads, self.text("/v1/events").splitlines())
        return [event for event in events if event["kind"] == kind]


class Ejection(unittest.TestCase):
    def test_failing_target_is_ejected(self):
        with RoutingCluster(BUILD, entries=1, workers=4) as cluster:
            cluster.start()
            try:
                # One target of two may not be ejected, so all four must be known.
                slots = cluster.deployment["slots"] * len(cluster.worker_specs)
                wait_until(lambda: f"turmericwell_credits_idle {slots}" in cluster.text("/metrics"), 20, "all credits")
                # Agents start nothing until a ping has told them that the entry is current.
                wait_until(lambda: cluster.request("entry-1", "warm-up", "check_deposit", {"runMs": 1})[0] in (200, 502),
                           20, "the first answer")
                requests = 80
                complete = 0
                for index in range(requests):
                    status, _ = cluster.request("entry-1", f"ejection-{index}", "check_deposit", {"runMs": 1})
                    complete += status == 200
                ejections = len(cluster.events("target_ejected"))
                self.assertGreaterEqual(ejections, 1)
                # Five failures lead to each ejection; without ejection the target would get all requests.
                self.assertLessEqual(cluster.failing.tasks, 5 * (ejections + 1))
                self.assertGreaterEqual(complete, requests - cluster.failing.tasks)
                self.assertLess(cluster.failing.tasks, requests / 2)
            finally:
                cluster.failing.stop()


if __name__ == "__main__":
    unittest.main()
