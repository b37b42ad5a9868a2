"""The proxy's faults on a link of its own, and short fault plans against real processes."""

import http.client
import json
import socket
import subprocess
import sys
import threading
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))
BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"
from lab.cluster import Cluster, http_call, wait_until  # noqa: E402


class EchoServer:
    """Sends every byte back and counts what arrived."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.received = bytearray()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with connection:
            try:
                while data := connection.recv(4096):
                    self.received += data
                    connection.sendall(data)
            except OSError:
                return


class ProxyCluster(Cluster):
    """A proxy on a single link to an echo server."""

    def __init__(self, server):
        super().__init__(BUILD)
        self.server = server

    def proxy_links(self):
        return [{"name": "echo/1", "to": f"127.0.0.1:{self.server.port}", "listen": self.address("proxy/echo")}]

    def dial(self):
        connection = socket.create_connection(("127.0.0.1", self.port("proxy/echo")), timeout=10)
        connection.settimeout(10)
        return connection


def exchange(connection, data):
    """Sends data and returns what came back until that many bytes arrived or the stream ended."""
    connection.sendall(data)
    result = b""
    while len(result) < len(data):
        part = connection.recv(4096)
        if not part:
            break
        result += part
    return result


class Proxy(unittest.TestCase):
    """Guards against fault runs that pass because the proxy injects nothing."""

    def setUp(self):
        self.server = EchoServer()
        self.addCleanup(self.server.listener.close)
        self.cluster = ProxyCluster(self.server)
        self.addCleanup(self.cluster.kill_all)
        self.cluster.start_proxy()

    def fault(self, kind, **fields):
        status, _ = self.cluster.control_proxy(add=[{"id": "f", "kind": kind, "link": "echo/*", **fields}])
        self.assertEqual(status, 200)

    def test_passes_bytes_on(self):
        with self.cluster.dial() as connection:
            self.assertEqual(exchange(connection, b"hello"), b"hello")

    def test_unknown_kind_is_refused(self):
        self.assertEqual(self.cluster.control_proxy(add=[{"kind": "none"}])[0], 400)

    def test_faults_of_other_links_and_peers_do_not_apply(self):
        self.cluster.control_proxy(add=[{"kind": "reset", "link": "other/1"}, {"kind": "reset", "peer": "entry-1"}])
        with self.cluster.dial() as connection:
            self.assertEqual(exchange(connection, b"hello"), b"hello")

    def test_drop_holds_bytes_until_it_ends(self):
        with self.cluster.dial() as connection:
            exchange(connection, b"a")
            self.fault("drop", direction="up")
            connection.sendall(b"b")
            connection.settimeout(0.3)
            with self.assertRaises(TimeoutError):
                connection.recv(1)
            self.assertEqual(bytes(self.server.received), b"a")
            self.cluster.control_proxy(remove=["f"])
            connection.settimeout(10)
            self.assertEqual(connection.recv(1), b"b")

    def test_reset_ends_open_and_new_connections(self):
        with self.cluster.dial() as connection:
            exchange(connection, b"a")
            self.fault("reset")
            with self.assertRaises(ConnectionResetError):
                connection.recv(1)
        with self.assertRaises(ConnectionError):
            with self.cluster.dial() as connection:
                if not exchange(connection, b"a"):
                    raise ConnectionError("closed")

    def test_half_open_leaves_the_caller_waiting(self):
        with self.cluster.dial() as connection:
            exchange(connection, b"a")
            self.fault("half_open")
            connection.settimeout(0.5)
            with self.assertRaises(TimeoutError):
                connection.recv(1)
            connection.sendall(b"b")  # the connection still looks open
            self.cluster.control_proxy(clear=True)
            self.assertEqual(bytes(self.server.received), b"a")

    def test_truncate_cuts_the_last_byte_once(self):
        self.fault("truncate", direction="down", count=1)
        with self.cluster.dial() as connection:
            self.assertEqual(exchange(connection, b"hello"), b"hell")
        with self.cluster.dial() as connection:
            self.assertEqual(exchange(connection, b"hello"), b"hello")

    def test_lost_answer_comes_after_the_effect(self):
        self.fault("lose_answer", count=1)
        with self.cluster.dial() as connection:
            with self.assertRaises(ConnectionResetError):
                exchange(connection, b"effect")
        self.assertEqual(bytes(self.server.received), b"effect")


class Faults(unittest.TestCase):
    """Single faults whose effect callers and targets must be able to tell exactly."""

    def start(self):
        cluster = Cluster(BUILD, entries=2, proxied=True)
        cluster.worker_specs = [s for s in cluster.worker_specs if s["name"] in ("thamel-1", "patan-1")]
        self.addCleanup(cluster.kill_all)
        cluster.start()
        return cluster

    def starts(self, cluster, echo):
        return sum(r["what"] == "start" and r.get("echo") == echo for r in cluster.target_records())

    # Guards against a second start when only the caller's answer was lost (G1, G6).
    def test_answer_lost_between_caller_and_entry(self):
        cluster = self.start()
        cluster.control_proxy(add=[{"id": "f", "kind": "lose_answer", "link": "caller/entry-1", "count": 1}])
        with self.assertRaises((OSError, http.client.HTTPException)):
            cluster.request("entry-1", "k", "unlock", {"runMs": 20, "echo": "k"})
        status, answer = cluster.request("entry-2", "k", "unlock", {"runMs": 20, "echo": "k"})
        self.assertEqual((status, answer["outcome"], answer["answer"]["echo"]), (200, "complete", "k"))
        self.assertEqual(self.starts(cluster, "k"), 1)

    # Guards against not_run or a second start when the answer of a started task is lost (G5, G6).
    def test_answer_lost_between_target_and_agent(self):
        cluster = self.start()
        cluster.control_proxy(add=[{"id": "f", "kind": "lose_answer", "link": "target/*", "count": 1}])
        status, answer = cluster.request("entry-1", "k", "unlock", {"runMs": 20, "echo": "k"})
        self.assertEqual((status, answer["outcome"]), (504, "unknown"))
        status, answer = cluster.request("entry-2", "k", "unlock", {"runMs": 20, "echo": "k"})
        self.assertEqual((status, answer["outcome"]), (504, "unknown"))
        self.assertEqual(self.starts(cluster, "k"), 1)

    # Guards against an agent that keeps a connection which its entry has lost, and so stays unused.
    def test_half_open_connection_is_dialled_again(self):
        cluster = self.start()

        def agents():
            return http_call(cluster.port("entry-1"), "GET", "/v1/show")[1]["agents"]
        cluster.control_proxy(add=[{"id": "f", "kind": "half_open", "link": "link/entry-1", "peer": "agent-*"}])
        wait_until(lambda: agents() == 0, 20, "the entry to lose its agents")
        cluster.control_proxy(clear=True)
        wait_until(lambda: agents() == 2, 30, "the agents to dial again")

    # Guards against a change that is reported as failed although the log took it (G9).
    def test_lost_append_answer_is_resolved(self):
        cluster = self.start()
        cluster.control_log(loseAnswers=1)
        result = cluster.apply(author="second")
        self.assertEqual(result.returncode, 0, result.stderr)
        shown = http_call(cluster.port("entry-1"), "GET", "/v1/show")[1]
        self.assertGreaterEqual(shown["version"], 1)


class Plans(unittest.TestCase):
    def test_two_plans_without_violation(self):
        result = subprocess.run([sys.executable, str(ROOT / "tools/lab/bench_faults.py"), "--build", str(BUILD),
                                 "--runs", "2", "--seed", "1", "--parallel", "2"],
                                capture_output=True, text=True, timeout=150, check=False)
        last = json.loads(result.stdout.splitlines()[-1])
        self.assertEqual((last["runs"], last["errors"], last["violations"]), (2, 0, 0), result.stdout)


if __name__ == "__main__":
    unittest.main()
