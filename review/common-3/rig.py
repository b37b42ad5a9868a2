"""A small deployment on loopback: the project's own entries and agents, beside stand-ins for store, workers and clients.

The programs are those of deploy/system.toml, with the settings of its templates. The stand-ins do what the pages say;
each case adds its one disruption.
"""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from lab.cluster import http_call, wait_until  # noqa: E402
from lab.groupcut import group_cut, peer_link  # noqa: E402
from lab.httpstandin import HttpStandin, NoAnswer  # noqa: E402
from lab.storestandin import StoreStandin  # noqa: E402

BINARY = ROOT / "target" / "turmericwell"
PROXY = ROOT / "target" / "turmericwell-standin"
HOST = "kiosk.example"
ZONES = ("thamel", "patan", "baneshwor", "bhaktapur")
STOP, CONTINUE, KILL, TERM = signal.SIGSTOP, signal.SIGCONT, signal.SIGKILL, signal.SIGTERM


# Below the range from which the system takes the ports of outgoing connections.
PORT_RANGE = (12000, 31000)
_given_ports = set()


def free_ports(count):
    """Ports that are free now and were not given out before."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            ports.append(port)
    return ports


class Record:
    """What was sent, answered and run, in the order of the events, with seconds since the start."""

    def __init__(self, path):
        self.rows = []
        self._start = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(path, "w")

    def now(self):
        return time.monotonic() - self._start

    def add(self, what, **fields):
        with self._lock:
            at = self.now()
            self.rows.append({"at": at, "what": what, **fields})
            self._file.write(f"{at:9.3f} {what} " + " ".join(f"{key}={value}" for key, value in fields.items()) + "\n")
            self._file.flush()
            return at

    def select(self, what, **fields):
        with self._lock:
            rows = list(self.rows)
        return [row for row in rows if row["what"] == what and all(row.get(k) == v for k, v in fields.items())]


class Process:
    """A program of the deploy file."""

    def __init__(self, name, role, settings, folder):
        self.name = name
        self.settings = settings
        self._path = Path(folder) / f"{name}.json"
        self._path.write_text(json.dumps(settings))
        self.log = self._path.with_suffix(".log")
        self._command = [str(BINARY), role]
        self._process = None

    def start(self):
        with open(self.log, "ab") as log:
            self._process = subprocess.Popen(self._command, stdout=log, stderr=subprocess.STDOUT,
                                             env={**os.environ, "TURMERICWELL_CONFIG": str(self._path)}, cwd=ROOT)

    def signal(self, number):
        self._process.send_signal(number)

    def kill(self):
        if self._process and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def ended(self):
        return self._process is not None and self._process.poll() is not None


class Worker:
    """One life after another of a worker that doesn't guard its capacity.

    `work(task, run, worker)` returns (seconds, how it ends). Each life has a name, a birth, a clock and ends of its own.
    """

    def __init__(self, name, port, control, record, zone, work, labels=("a",), cpu=16000, memory=32768, beat_s=1.5):
        self.machine = name
        self.record = record
        self.zone = zone
        self.work = work
        self.cpu, self.memory = cpu, memory
        self.beat_s = beat_s
        self.port, self.control = port, control
        self.state = "ready"
        self._lives = 0
        self._closing = False
        self._changed = threading.Condition()
        self._http = None
        self.begin_life(labels)
        threading.Thread(target=self._beats, daemon=True).start()
        threading.Thread(target=self._watch, daemon=True).start()

    # --- lives ---

    def begin_life(self, labels, name=None):
        with self._changed:
            self._lives += 1
            self._crashed = False
            self.labels = list(labels)
            self.name = name or f"i-{self.machine}-{self._lives}"
            self.born = int(time.time() * 1000)
            self._start = time.monotonic()
            self._running, self._ended, self._highest = {}, [], {}
            self._deadline = self._last_end = self._sequence = self._fence = 0
            self._holds_lease = False
        self.record.add("worker", name=self.name, machine=self.machine, labels=",".join(self.labels))
        life = self._lives

        def handle(*call):
            # The connections of a life end with it.
            if life != self._lives or self._crashed:
                raise NoAnswer
            answer = self._handle(*call)
            if life != self._lives or self._crashed:
                raise NoAnswer
            return answer

        self._http = HttpStandin(self.port, handle)
        threading.Thread(target=self.beat, daemon=True).start()

    def crash(self):
        """All that runs ends unseen; connections are refused or reset from now on."""
        http, self._http = self._http, None
        with self._changed:
            self._crashed = True
            for task, (run, _, _) in self._running.items():
                self.record.add("end", task=task, run=run, how="crashed", worker=self.name)
            self._running = {}
            self._changed.notify_all()
        self.record.add("crash", name=self.name)
        if http:
            http.close()

    def close(self):
        self._closing = True
        if self._http:
            self._http.close()

    def finish(self, task):
        """The task's work comes to its end now."""
        with self._changed:
            if task in self._running:
                self._end(task, "done")

    def running(self):
        with self._changed:
            return dict(self._running)

    # --- announcements ---

    def _beats(self):
        while not self._closing:
            time.sleep(self.beat_s)
            if self._http:
                self.beat()

    def beat(self):
        with self._changed:
            self._sequence += 1
            body = {"service": "kiosk", "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                    "slots": 8, "state": self.state, "coldMs": 0,
                    "capacity": {"cpu": self.cpu, "memMb": self.memory, "gpu": 0}, "labels": self.labels,
                    "clockMs": self._clock(), "seq": self._sequence, "born": self.born}
            name = self.name
        for _ in range(20):
            try:
                connection = http.client.HTTPConnection("127.0.0.1", self.control, timeout=1)
                connection.request("POST", "/Instances.Heartbeat/" + name, json.dumps(body),
                                   {"Content-Type": "application/json"})
                status = connection.getresponse().status
                connection.close()
                if 200 <= status < 300 or name != self.name:
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.1)

    # --- runs ---

    def _clock(self):
        return int((time.monotonic() - self._start) * 1000) + 1

    def _end(self, task, how):
        run, _, _ = self._running.pop(task)
        self._last_end += 1
        self._ended.append([self._last_end, task, run, how, ""])
        self._highest[task] = max(self._highest.get(task, 0), run)
        self.record.add("end", task=task, run=run, how=how, worker=self.name)
        self._changed.notify_all()

    def _watch(self):
        while not self._closing:
            with self._changed:
                now = self._clock()
                if self._holds_lease and now >= self._deadline:
                    self.record.add("lapse", worker=self.name)
                self._holds_lease = now < self._deadline
                for task, (_, until, how) in list(self._running.items()):
                    if self._crashed:
                        break
                    if now >= self._deadline:
                        self._end(task, "lapsed")
                    elif now >= until:
                        self._end(task, how)
            time.sleep(0.003)

    def _handle(self, _method, path, _query, headers, raw):
        body = json.loads(raw)
        with self._changed:
            expected = headers.get("Expect-Instance")
            if expected and expected != self.name:
                return 421, {"clockMs": self._clock()}
            if body.get("fence", 0) < self._fence:
                return 409, {"clockMs": self._clock(), "reason": "fence"}
            self._fence = body.get("fence", 0)
            call = {"/run-start": self._run_start, "/run-stop": self._run_stop, "/hold": self._hold}.get(path)
            return call(body) if call else (404, {})

    def _lengthen(self, body):
        self._deadline = max(self._deadline, min(body.get("deadlineMs", 0), self._clock() + 1000))

    def _run_start(self, body):
        task, run = body["task"], body["run"]
        if self._crashed:
            raise NoAnswer
        if body["deadlineMs"] <= self._clock():
            return 409, {"clockMs": self._clock(), "reason": "late"}
        self._lengthen(body)
        if task in self._running and self._running[task][0] == run:
            return 200, {"clockMs": self._clock()}
        if run <= self._highest.get(task, 0) or task in self._running:
            return 409, {"clockMs": self._clock(), "reason": "old"}
        seconds, how = self.work(task, run, self)
        self._running[task] = (run, self._clock() + int(seconds * 1000), how)
        self.record.add("start", task=task, run=run, worker=self.name, labels=",".join(self.labels))
        return 200, {"clockMs": self._clock()}

    def _run_stop(self, body):
        task, run = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), run)
        if task in self._running and self._running[task][0] <= run:
            self._end(task, "stopped")
        return 200, {"clockMs": self._clock()}

    def _hold(self, body):
        self._lengthen(body)
        through = body.get("ackThrough", 0)
        for number, task, run, how, _ in self._ended:
            if number <= through:
                self.record.add("taken_note", task=task, run=run, how=how, worker=self.name)
        self._ended = [end for end in self._ended if end[0] > through]
        last, life = self._last_end, self._lives
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while self._last_end == last and life == self._lives and time.monotonic() < until and not self._ended:
            self._changed.wait(max(0.001, until - time.monotonic()))
        return 200, {"clockMs": self._clock(), "born": self.born, "ended": self._ended[:500],
                     "running": [[task, run, "", 50, 0] for task, (run, _, _) in self._running.items()]}


def route(name, prefix, **fields):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "routeType": "non_idempotent", "timeoutMs": 1500,
            "targetLatencyMs": 60, "priority": 0, "service": "kiosk", "attempts": 4, "stretch": 1.6, **fields}


class Deployment:
    """With `proxied`, a proxy stands before the store of each process and before each process."""

    def __init__(self, folder, work, entries=2, workers=3, routes=None, proxied=False, labels=lambda index: ("a",)):
        self.record = Record(Path(folder) / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.routes = routes or [route("q", "/q/")]
        store_port, *self.client_ports = free_ports(1 + entries)
        self.store = StoreStandin([store_port])
        self.version = 0
        self.configure(self.routes)
        self._links = [] if proxied else None
        self._proxy = None
        self.entries, self.agents, self.workers = [], [], []
        for index in range(entries):
            name, zone = f"edge-{ZONES[index % 4]}-{1 + index // 4}", ZONES[index % 4]
            peer, metrics, ready = free_ports(3)
            settings = {"name": name, "zone": zone, **self._addresses(name, store_port, peer),
                        "metricsListen": f"127.0.0.1:{metrics}", "clientListen": f"127.0.0.1:{self.client_ports[index]}",
                        "readyListen": f"127.0.0.1:{ready}", "partitions": 8, "leastMemberTtlMs": 1000,
                        "workerLeaseMs": 1000, "processorShare": 0.25, "processorSpeed": 1, "learnWorkerSpeeds": True,
                        "moveLongRuns": "by-evidence", "farFactor": 1.5, "placementWait": True, "memoryMb": 260,
                        "maxDescriptors": 4100, "serveUntilTaken": True, "joinKnownFleetAtOnce": True,
                        "stopGraceMs": 6000}
            self.entries.append(Process(name, "fleet-entry", settings, self._temporary.name))
        for index in range(workers):
            name, zone = f"side-{ZONES[index % 4]}-{1 + index // 4}", ZONES[index % 4]
            peer, metrics, control, port = free_ports(4)
            settings = {"name": name, "zone": zone, **self._addresses(name, store_port, peer), "metricsListen": f"127.0.0.1:{metrics}",
                        "controlListen": f"127.0.0.1:{control}", "worker": f"127.0.0.1:{port}", "partitions": 8,
                        "leastMemberTtlMs": 1000, "workerLeaseMs": 1000, "leaveWithoutWorkerMs": 3000,
                        "learnWorkerSpeeds": True, "memoryMb": 128, "maxDescriptors": 4096, "stopGraceMs": 6000}
            self.agents.append(Process(name, "fleet-agent", settings, self._temporary.name))
            self.workers.append(Worker(name.removeprefix("side-"), port, control, self.record, zone, work,
                                       labels(index)))

    def _addresses(self, name, store_port, peer_port):
        listen, store = f"127.0.0.1:{peer_port}", f"127.0.0.1:{store_port}"
        if self._links is None:
            return {"store": store, "peerListen": listen}
        to_store, to_peer = (f"127.0.0.1:{port}" for port in free_ports(2))
        self._links.append({"name": f"store/{name}", "listen": to_store, "to": store})
        self._links.append(peer_link(name, to_peer, listen))
        return {"store": to_store, "peerListen": listen, "peerAddress": to_peer}

    def _start_proxy(self):
        plan = Path(self._temporary.name) / "proxy.json"
        plan.write_text(json.dumps({"seed": 1, "links": self._links, "faults": []}))
        (self._proxy_port,) = free_ports(1)
        self._proxy = subprocess.Popen([str(PROXY), "proxy", "--control", f"127.0.0.1:{self._proxy_port}",
                                        "--plan", str(plan)])
        wait_until(lambda: http_call(self._proxy_port, "POST", "/control", {})[0] == 200, 20, "the proxy")

    def cut_off(self, names, length_s):
        """Cuts these processes off from the store and from all others, for this time."""
        others = [process.name for process in [*self.entries, *self.agents] if process.name not in names]
        faults = group_cut(names, others, length_s, "cut/" + "/".join(names))
        status, _ = http_call(self._proxy_port, "POST", "/control", {"add": faults}, timeout=10)
        if status != 200:
            raise RuntimeError("the proxy refused the cut")
        self.record.add("cut", processes=",".join(names), for_s=length_s)

    def configure(self, routes):
        """Writes a configuration as the operator does; returns the time of its acknowledgement."""
        self.version += 3
        self.store.write("keyed.op", "config", json.dumps(
            {"version": self.version, "routes": routes, "services": [{"name": "kiosk", "admissionCheck": False}],
             "limits": {}}).encode())
        return self.record.add("configuration", version=self.version, routes=",".join(one["name"] for one in routes))

    def start(self):
        if self._links:
            self._start_proxy()
        for process in [*self.entries, *self.agents]:
            process.start()

    def wait_until_serving(self, timeout=25):
        """Each entry has a best-effort job done."""
        end, probe = time.monotonic() + timeout, 0xF000000000000000
        while time.monotonic() < end:
            served = 0
            for index in range(len(self.entries)):
                probe += 1
                body = self.job([{"count": 1, "cpu": 100, "memMb": 1, "estimateMs": 10}], bestEffort=True)
                served += self.call("POST", f"/q/{probe:016x}", body, index, wait_ms=1500, quiet=True)[0] == 200
            if served == len(self.entries):
                return
            time.sleep(0.2)
        raise RuntimeError("the entries do not serve")

    @staticmethod
    def job(steps, **fields):
        return {"spec": "s", "steps": steps, **fields}

    def call(self, method, path, body=None, entry=0, wait_ms=5000, quiet=False):
        """(status, body); status 0 without an answer. Sent over a connection of its own."""
        sent = self.record.now()
        connection = http.client.HTTPConnection("127.0.0.1", self.client_ports[entry], timeout=wait_ms / 1000 + 1)
        try:
            headers = {"Host": HOST, "Deadline-Ms": str(wait_ms), "Content-Type": "application/json"}
            connection.request(method, path, json.dumps(body) if body is not None else None, headers)
            response = connection.getresponse()
            status, answer = response.status, json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            status, answer = 0, {}
        finally:
            connection.close()
        if not quiet:
            self.record.add("call", sent=f"{sent:.3f}", method=method, path=path, entry=self.entries[entry].name,
                            status=status, answer=json.dumps(answer))
        return status, answer

    def stop(self, keep_logs=None):
        for process in [*self.entries, *self.agents]:
            process.kill()
        for worker in self.workers:
            worker.close()
        if self._proxy:
            self._proxy.kill()
            self._proxy.wait()
        self.store.close()
        if keep_logs:
            Path(keep_logs).mkdir(exist_ok=True)
            for process in [*self.entries, *self.agents]:
                (Path(keep_logs) / process.log.name).write_bytes(process.log.read_bytes())
        self._temporary.cleanup()


def run_case(case):
    """Exit status of a case: `case(folder, trouble)` returns True if the rule held."""
    folder = Path(sys.argv[1]).resolve()
    try:
        held = case(folder, os.environ.get("TROUBLE", "1") != "0")
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(0 if held else 1)
