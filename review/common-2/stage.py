"""Small deployments for the scripts of this review: real entries and agents on loopback, beside stand-ins.

The store is the project's own stand-in (tools/lab/storestandin.py). The worker, the network between the processes and
the clients are here. Everything that clients, workers and the store's operator see goes into record.txt.
"""

import asyncio
import http.client
import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))

from lab.cluster import PortBlocks  # noqa: E402
from lab.httpstandin import HttpStandin  # noqa: E402
from lab.storestandin import StoreStandin  # noqa: E402

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "kiosk.example"
PREFIX = "/jobs/"
HEARTBEAT_S = 1.5
MOST_HOLD_MS = 1000


class Record:
    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self._file = self.path.open("w")
        self._start = time.monotonic()
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self._start

    def add(self, *words):
        with self._lock:
            at = self.now()
            self._file.write(f"{at:8.3f}  " + " ".join(str(word) for word in words) + "\n")
            self._file.flush()
            return at

    def close(self):
        with self._lock:
            self._file.close()


class Worker:
    """Runs tasks as PROTOCOL.md, "Running tasks", says. `plan(task)` gives (milliseconds of work, how it ends)."""

    def __init__(self, record, name, zone, ports, control_port, cpu, labels, plan):
        self.name, self.zone, self.cpu, self.labels, self.plan = name, zone, cpu, labels, plan
        self.state = "ready"
        self.port = ports.next()
        # Rows of the run history: [task, run, started at, ended at or None, how, end number, noted at or None].
        self.runs = []
        self._record = record
        self._control_port = control_port
        self._start = time.monotonic()
        self._born = int(time.time() * 1000)
        self._changed = threading.Condition()
        self._running, self._ended, self._highest = {}, [], {}
        self._fence = self._last_end = self._sequence = self._deadline = 0
        # Counts the lapses of the lease, whether anything ran or not.
        self._lapses, self._holds = 0, False
        self._closing = False
        self._http = HttpStandin(self.port, self._handle)
        for body in (self._beat_regularly, self._watch):
            threading.Thread(target=body, daemon=True).start()

    def close(self):
        self._closing = True
        self._http.close()

    def _clock(self):
        return int((time.monotonic() - self._start) * 1000) + 1000

    def _beat_regularly(self):
        while not self._closing:
            time.sleep(HEARTBEAT_S if self.beat() else 0.2)

    def beat(self):
        """Sends a heartbeat; returns whether it was acknowledged."""
        self._sequence += 1
        body = {"service": "kiosk", "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
                "state": self.state, "coldMs": 0, "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0},
                "labels": self.labels, "clockMs": self._clock(), "seq": self._sequence, "born": self._born}
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self._control_port, timeout=1)
            connection.request("POST", "/Instances.Heartbeat/" + self.name, json.dumps(body),
                               {"Content-Type": "application/json"})
            status = connection.getresponse().status
            connection.close()
            return 200 <= status < 300
        except (OSError, http.client.HTTPException):
            return False

    def _end(self, task, how):
        run, _, row, _ = self._running.pop(task)
        self._last_end += 1
        self._ended.append([self._last_end, task, run, how, ""])
        row[3:6] = [self._record.add("worker", self.name, "ends", task, "run", run, how, "end", self._last_end), how,
                    self._last_end]
        row.append(self._lapses)
        self._highest[task] = max(self._highest.get(task, 0), run)
        self._changed.notify_all()

    def _watch(self):
        while not self._closing:
            with self._changed:
                now = self._clock()
                holds = now < self._deadline
                if self._holds and not holds:
                    self._lapses += 1
                    self._record.add("worker", self.name, "lease lapses")
                self._holds = holds
                for task, (_, until, _, how) in list(self._running.items()):
                    if not holds:
                        self._end(task, "lapsed")
                    elif now >= until:
                        self._end(task, how)
            time.sleep(0.003)

    def _handle(self, _method, path, _query, headers, raw):
        body = json.loads(raw)
        expected = headers.get("Expect-Instance")
        with self._changed:
            if expected and expected != self.name:
                return 421, {"clockMs": self._clock(), "born": self._born}
            if body.get("fence", 0) < self._fence:
                return 409, {"clockMs": self._clock(), "reason": "fence"}
            self._fence = body.get("fence", 0)
            answer = {"/run-start": self._run_start, "/run-stop": self._run_stop, "/hold": self._hold}.get(path)
            return answer(body) if answer else (404, {})

    def _lengthen(self, body):
        wanted = min(body.get("deadlineMs", 0), self._clock() + MOST_HOLD_MS)
        self._deadline = max(self._deadline, wanted)

    def _run_start(self, body):
        task, run = body["task"], body["run"]
        if body["deadlineMs"] <= self._clock():
            return 409, {"clockMs": self._clock(), "reason": "late"}
        self._lengthen(body)
        if task in self._running and self._running[task][0] == run:
            return 200, {"clockMs": self._clock()}
        if task in self._running or run <= self._highest.get(task, 0):
            return 409, {"clockMs": self._clock(), "reason": "old"}
        millis, how = self.plan(task)
        row = [task, run, self._record.add("worker", self.name, "starts", task, "run", run), None, "", 0, None]
        self.runs.append(row)
        self._running[task] = (run, self._clock() + millis, row, how)
        return 200, {"clockMs": self._clock()}

    def _run_stop(self, body):
        task, run = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), run)
        if task in self._running and self._running[task][0] <= run:
            self._end(task, "stopped")
        return 200, {"clockMs": self._clock()}

    def _note_ends(self, through):
        for row in self.runs:
            if row[3] is None or row[6] is not None or row[5] > through:
                continue
            # "unless the worker's lease lapsed between the two; that stands for good"
            lapsed = row[7] != self._lapses
            row[6] = self._record.add("worker", self.name, "ackThrough", through, "reaches end", row[5], "of", row[0],
                                      "run", row[1], row[4], "after a lapse" if lapsed else "without a lapse")
            row.append(not lapsed)
        self._ended = [end for end in self._ended if end[0] > through]

    def _hold(self, body):
        self._lengthen(body)
        self._note_ends(body.get("ackThrough", 0))
        last = self._last_end
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while self._last_end == last and not self._ended and time.monotonic() < until:
            self._changed.wait(until - time.monotonic())
        return 200, {"clockMs": self._clock(), "born": self._born, "ended": self._ended[:500],
                     "running": [[task, run, "", 100, 1000] for task, (run, _, _, _) in self._running.items()]}

    @staticmethod
    def was_noted(row):
        """True if the end of this run has been taken note of, in the words of RULES.md."""
        return len(row) > 8 and row[8]


class Network:
    """Links between the processes. While `is_cut(source, destination)` holds, nothing passes, in either direction.

    Bytes are held up as by a partition; they arrive later if their connection still stands. A connection that is opened
    during a cut is accepted here, since a stand-in cannot drop its opening packet, and stays silent. The first message of a
    connection between two processes of the system contains the sender's name, by which the source is known.
    """

    def __init__(self, names):
        self._names = [name.encode() for name in names]
        self.is_cut = lambda source, destination: False
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def link(self, listen, to, destination, source=None):
        async def serve():
            async def connected(reader, writer):
                await self._connected(reader, writer, to, destination, source)
            await asyncio.start_server(connected, "127.0.0.1", listen, limit=1 << 22)
        asyncio.run_coroutine_threadsafe(serve(), self._loop).result(10)

    def close(self):
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)

    async def _connected(self, reader, writer, to, destination, source):
        first = await reader.read(1 << 16)
        if source is None:
            source = next((name.decode() for name in self._names if name in first), "?")
        while self.is_cut(source, destination):
            if reader.at_eof():
                writer.close()
                return
            await asyncio.sleep(0.01)
        try:
            onward_reader, onward_writer = await asyncio.open_connection("127.0.0.1", to, limit=1 << 22)
        except OSError:
            writer.close()
            return
        onward_writer.write(first)
        await asyncio.gather(self._pump(reader, onward_writer, source, destination),
                             self._pump(onward_reader, writer, source, destination))

    async def _pump(self, reader, writer, source, destination):
        data = b"-"
        while data:
            try:
                data = await reader.read(1 << 16)
            except OSError:
                data = b""
            while self.is_cut(source, destination):
                await asyncio.sleep(0.005)
            if data:
                try:
                    writer.write(data)
                    await writer.drain()
                except OSError:
                    break
        writer.close()


class Process:
    """One role with the command of deploy/system.toml."""

    def __init__(self, name, role, settings, folder, record):
        self.name, self._role, self._record = name, role, record
        self._settings = Path(folder) / (name + ".json")
        self._settings.write_text(json.dumps(settings))
        self.log = Path(folder) / (name + ".log")
        self._process = None

    def start(self):
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(["target/turmericwell", self._role], cwd=ROOT, stdout=log, stderr=log,
                                             env={**os.environ, "TURMERICWELL_CONFIG": str(self._settings)})

    def signal(self, number):
        self._record.add("signal", number.name, "to", self.name)
        self._process.send_signal(number)

    def wait(self, timeout):
        return self._process.wait(timeout)

    def end(self):
        if self._process and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


class Stage:
    """`entries` and `sides`: the zone of each. `workers`: for each side, a dict with cpu and labels."""

    def __init__(self, folder, entries, sides, workers, plan, attempts=2, stretch=1.6, target_ms=60, timeout_ms=1500):
        self.record = Record(folder)
        self._ports = PortBlocks()
        # The settings and logs of the processes; KEEP names a folder that stays.
        self._folder = tempfile.TemporaryDirectory()
        files = os.environ.get("KEEP") or self._folder.name
        Path(files).mkdir(parents=True, exist_ok=True)
        self.store_port = self._ports.next()
        self.store = StoreStandin([self.store_port])
        route = {"name": "q", "host": HOST, "pathPrefix": PREFIX, "routeType": "non_idempotent",
                 "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 0, "service": "kiosk",
                 "attempts": attempts, "stretch": stretch}
        self.operator_writes("config", {"version": 1, "routes": [route], "services": [{"name": "kiosk"}], "limits": {}})
        entry_names = [f"edge-{zone}-{number + 1}" for number, zone in enumerate(entries)]
        side_names = [f"side-{zone}-{number + 1}" for number, zone in enumerate(sides)]
        self.network = Network(entry_names + side_names)
        self.zone_of = dict(zip(entry_names + side_names, list(entries) + list(sides)))
        self.entries, self.sides, self.workers, self.client_ports = [], [], [], []
        for name in entry_names:
            self.client_ports.append(self._ports.next())
            settings = {**self._common(name), "clientListen": f"127.0.0.1:{self.client_ports[-1]}",
                        "readyListen": self._address(), "processorShare": 0.25, "processorSpeed": 1}
            self.entries.append(Process(name, "fleet-entry", settings, files, self.record))
        for number, name in enumerate(side_names):
            control = self._ports.next()
            worker = Worker(self.record, f"i-{number + 1}", self.zone_of[name], self._ports, control,
                            workers[number]["cpu"], workers[number]["labels"], plan)
            settings = {**self._common(name), "controlListen": f"127.0.0.1:{control}",
                        "worker": f"127.0.0.1:{worker.port}"}
            self.workers.append(worker)
            self.sides.append(Process(name, "fleet-agent", settings, files, self.record))

    def _address(self):
        return f"127.0.0.1:{self._ports.next()}"

    def _common(self, name):
        listen, reached, store = self._ports.next(), self._ports.next(), self._ports.next()
        self.network.link(reached, listen, name)
        self.network.link(store, self.store_port, "store", source=name)
        return {"name": name, "zone": self.zone_of[name], "store": f"127.0.0.1:{store}",
                "peerListen": f"127.0.0.1:{listen}", "peerAddress": f"127.0.0.1:{reached}",
                "metricsListen": self._address(), "partitions": 8, "leastMemberTtlMs": 1000, "workerLeaseMs": 1000,
                "stopGraceMs": 6000}

    def operator_writes(self, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self.store.write("keyed.op", key, data)
        return self.record.add("operator", "deletes" if value is None else "writes", "op/" + key)

    def start(self):
        for process in [*self.entries, *self.sides]:
            process.start()
        end = time.monotonic() + 25
        probe = 0xF000000000000000
        for number in range(len(self.entries)):
            while True:
                probe += 1
                status, _, _ = self.call("POST", f"{probe:016x}", job([step(1, 100, 20)], best_effort=True), number, 2000)
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise RuntimeError("the entries do not serve")
                time.sleep(0.1)
        time.sleep(1)

    def call(self, method, path, body=None, entry=0, deadline_ms=1500):
        """(status, body, time of the answer); status 0 without an answer."""
        connection = http.client.HTTPConnection("127.0.0.1", self.client_ports[entry], timeout=deadline_ms / 1000 + 1)
        status, answer = 0, {}
        self.record.add("client", method, path or "(queue)", "to", self.entries[entry].name, json.dumps(body) if body else "")
        try:
            connection.request(method, PREFIX + path, json.dumps(body) if body is not None else None,
                               {"Host": HOST, "Content-Type": "application/json", "Deadline-Ms": str(deadline_ms)})
            response = connection.getresponse()
            status, answer = response.status, json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException) as error:
            answer = {"broken": repr(error)}
        finally:
            connection.close()
        at = self.record.add("client", method, path or "(queue)", "at", self.entries[entry].name, "gets", status or "no answer",
                             json.dumps(answer))
        return status, answer, at

    def runs(self, job_id=None):
        """(worker, row) of all runs, by their starts."""
        rows = [(worker, row) for worker in self.workers for row in list(worker.runs)
                if job_id is None or row[0].startswith(job_id)]
        return sorted(rows, key=lambda item: item[1][2])

    def stop(self):
        for process in [*self.entries, *self.sides]:
            process.end()
        for worker in self.workers:
            worker.close()
        self.store.close()
        self.network.close()
        self._ports.release()
        self._folder.cleanup()


def step(count, cpu, estimate_ms, **more):
    return {"count": count, "cpu": cpu, "memMb": 64, "estimateMs": estimate_ms, **more}


def job(steps, best_effort=False):
    body = {"spec": "s", "steps": steps}
    if best_effort:
        body["bestEffort"] = True
    return body


def play(make_stage, case):
    """Runs `case(stage)`, which returns the verdict's (exit code, text), and ends all processes."""
    stage = None
    try:
        stage = make_stage()
        stage.start()
        code, text = case(stage)
    except Exception as error:  # the case could not be played
        code, text = CANNOT_RUN, f"could not run: {error!r}"
    finally:
        if stage:
            stage.stop()
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "the case could not run"}[code]
    if stage:
        stage.record.add("verdict:", verdict + ":", text)
        stage.record.close()
    print(f"{verdict}: {text}")
    sys.exit(code)
