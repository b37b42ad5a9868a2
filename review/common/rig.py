"""A small deployment on loopback for the cases of this review: real entries and agents, stand-ins for the rest.

The programs are started with the commands of deploy/system.toml and with settings rendered from the templates that the
deploy file names. The store is the project's own stand-in (tools/lab/storestandin.py) with outages; the workers, the
clients and the network links are stand-ins of this folder. All of them write to one record.
"""

import http.client
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))
sys.path.insert(0, str(Path(__file__).resolve().parent))

from lab.cluster import PortBlocks  # noqa: E402
from links import Link  # noqa: E402
from store import Store  # noqa: E402
from worker import Worker  # noqa: E402

HOST = "kiosk.example"
PREFIX = "/jobs/"
PARTITIONS = 8
ZONES = ("thamel", "patan", "baneshwor", "bhaktapur")
# The bounds of ../given/kit/more/system/sites/hsv-kiosk.toml that the programs' settings contain.
SITE = {"platform": {"parts": PARTITIONS, "minTtlMs": 1000},
        "bounds": {"maxHoldMs": 1000, "graceS": 6, "resendMs": 1300},
        "limits": {"cpuShare": 0.25, "cores": 1}}
# "Traffic starts 10 s after the machines do."
LEAD_S = 10
BROKEN, HELD, NOT_RUN = 1, 0, 2


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self):
        self.begin = time.monotonic()
        self._lock = threading.Lock()
        self.rows = []

    def add(self, what, **fields):
        with self._lock:
            self.rows.append((time.monotonic() - self.begin, what, fields))

    def write(self, path):
        lines = [f"{at:9.4f} {what} " + " ".join(f"{key}={value}" for key, value in fields.items())
                 for at, what, fields in sorted(self.rows, key=lambda row: row[0])]
        Path(path).write_text("\n".join(lines) + "\n")


def render(template, fields):
    """Fills in the placeholders {{a.b}} and {{a.b|json}} of a settings template."""
    def value(match):
        result = fields
        for key in match.group(1).split("."):
            result = result[int(key)] if isinstance(result, list) else result[key]
        return json.dumps(result) if match.group(2) else str(result)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Process:
    def __init__(self, rig, role, fields, extra):
        self.name = fields["node"]
        self._rig = rig
        self._command = [str(ROOT / word) if i == 0 else word for i, word in enumerate(role["run"].split())]
        settings = json.loads(render((ROOT / role["template"]).read_text(), fields))
        settings.update(extra)
        self._settings = rig.folder / f"{self.name}.json"
        self._settings.write_text(json.dumps(settings))
        self._log = rig.folder / f"{self.name}.log"
        self.process = None

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["TURMERICWELL_CONFIG"] = str(self._settings)
        self._rig.record.add("process_started", process=self.name)
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(self._command, cwd=ROOT, env=environment, stdout=log,
                                            stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)

    def signal(self, number):
        self._rig.record.add("process_signalled", process=self.name, signal=int(number))
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self._rig.record.add("process_killed", process=self.name)
            self.process.kill()
            self.process.wait()

    def events(self, name):
        lines = self._log.read_text(errors="replace").splitlines() if self._log.exists() else []
        events = [json.loads(line) for line in lines if line.startswith("{") and f'"{name}"' in line]
        return [event for event in events if event.get("event") == name]

    def owned(self):
        """Partitions that the process serves, by its log."""
        owned = [(event["t"], 1, event["partition"]) for event in self.events("partition_owned")]
        owned += [(event["t"], 0, event["partition"]) for event in self.events("partition_closed")]
        result = set()
        for _, is_owned, partition in sorted(owned):
            (result.add if is_owned else result.discard)(partition)
        return result


class Rig:
    """Entry number n is in zone n, and worker number n in zone n modulo the number of entries.

    `cut_off` names the entries whose connections to the store and to the other processes can be cut. With
    `zone_delay_s` the connections between entries and agents of different zones have that one-way delay.
    """

    def __init__(self, entries=3, workers=(), attempts=2, cut_off=(), zone_delay_s=0):
        self._delays = [{f"edge-{other}": zone_delay_s for other in range(entries) if other != zone}
                        for zone in range(entries)]
        self.record = Record()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._ports = PortBlocks()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        store_port = self._ports.next()
        self.store = Store([store_port])
        self.store.write("keyed.op", "config", self._configuration(attempts))
        store = f"127.0.0.1:{store_port}"
        self.links = []
        self.entries, self.agents, self.workers, self.fronts = [], [], [], {}
        for index in range(entries):
            name = f"edge-{index}"
            front = self._ports.next()
            self.fronts[name] = front
            address = self._link(store, {name}, always=True) if name in cut_off else store
            listen = {"front": f"127.0.0.1:{front}", "ready": self._address()}
            self.entries.append(self._process(deploy["roles"]["entry"], name, address, cut_off, {},
                                              {"zone": ZONES[index], "listen": listen}))
        for index, options in enumerate(workers):
            control, app = self._ports.next(), self._ports.next()
            zone = index % entries
            self.agents.append(self._process(deploy["roles"]["agent"], f"side-{index}", store, cut_off,
                                             self._delays[zone] if zone_delay_s else {},
                                             {"zone": ZONES[zone], "listen": {"control": f"127.0.0.1:{control}"},
                                              "app": f"127.0.0.1:{app}"}))
            self.workers.append(Worker(f"i-{index}", app, control, self.record, zone=ZONES[zone], **options))

    @staticmethod
    def _configuration(attempts):
        route = {"name": "q", "host": HOST, "pathPrefix": PREFIX, "timeoutMs": 1500, "targetLatencyMs": 60,
                 "priority": 0, "service": "kiosk", "attempts": attempts, "stretch": 1.6}
        return json.dumps({"version": 1, "routes": [route], "services": [{"name": "kiosk"}], "limits": {}}).encode()

    def _address(self):
        return f"127.0.0.1:{self._ports.next()}"

    def _link(self, target, names, always=False, delays=None):
        listen = self._address()
        self.links.append(Link(listen, target, names, always, delays))
        return listen

    def _process(self, role, name, store, cut_off, delays, fields):
        peer = self._ports.next()
        # The template names the metrics port; here all processes share one address, so each gets its own.
        extra = {"metricsListen": self._address()}
        if cut_off or delays:
            # Whoever dials this process or is dialled by it: the link knows a cut-off dialler by the name it sends.
            extra["peerAddress"] = self._link(f"127.0.0.1:{peer}", set(cut_off), name in cut_off, delays)
        fields = {**SITE, **fields, "node": name, "ip": "127.0.0.1", "portRange": [peer, peer + 1]}
        fields["platform"] = {**SITE["platform"], "address": store}
        return Process(self, role, fields, extra)

    # --- running ---

    def start(self, durable_probes=True):
        """Starts all processes and waits until they serve; with durable_probes=False that stores no job."""
        for worker in self.workers:
            worker.begin()
        for process in [*self.agents, *self.entries]:
            process.start()
        time.sleep(LEAD_S)
        self._wait_until_serving(durable_probes)

    def _wait_until_serving(self, durable_probes, timeout=25):
        """Submits small jobs until each entry has answered several of them, over all partitions."""
        end = time.monotonic() + timeout
        probe, served = 0xF0 << 56, 0
        while time.monotonic() < end:
            answers = []
            for name in self.fronts:
                for _ in range(4):
                    probe += 1
                    status, _ = self.submit(f"{probe:016x}", [step(1, 10)], name, best_effort=not durable_probes)
                    answers.append(status)
            served = served + 1 if all(status == 200 for status in answers) else 0
            if served == 3:
                return
            time.sleep(0.2)
        raise NotRun("the entries do not serve")

    def call(self, method, job, body=None, entry="edge-0", timeout=4.0):
        """(status, body); status 0 stands for no answer."""
        self.record.add("sent", method=method, job=job, entry=entry, body=json.dumps(body) if body else "-")
        connection = http.client.HTTPConnection("127.0.0.1", self.fronts[entry], timeout=timeout)
        status, answer = 0, {}
        try:
            headers = {"Host": HOST, "Content-Type": "application/json", "Deadline-Ms": str(int(timeout * 1000))}
            connection.request(method, PREFIX + job, json.dumps(body) if body is not None else None, headers)
            response = connection.getresponse()
            status, answer = response.status, json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException) as error:
            answer = {"error": type(error).__name__}
        finally:
            connection.close()
        self.record.add("answered", method=method, job=job, entry=entry, status=status, body=json.dumps(answer))
        return status, answer

    def submit(self, job, steps, entry="edge-0", timeout=4.0, best_effort=False):
        body = {"spec": "work", "steps": steps, **({"bestEffort": True} if best_effort else {})}
        return self.call("POST", job, body, entry, timeout)

    def state(self, job, entry="edge-0"):
        return self.call("GET", job, None, entry)

    def cut(self, entry):
        """Cuts the entry of `cut_off` off from the store and from all other processes; its clients still reach it."""
        self.record.add("cut", entry=entry)
        for link in self.links:
            link.cut()

    def mend(self, entry):
        for link in self.links:
            link.mend()
        self.record.add("mended", entry=entry)

    def close(self, keep=None):
        for process in [*self.entries, *self.agents]:
            process.kill()
        for worker in self.workers:
            worker.close()
        for link in self.links:
            link.close()
        self.store.close()
        self._ports.release()
        if keep:
            self.record.write(Path(keep) / "record.txt")
        logs = os.environ.get("KEEP_LOGS")
        for path in self.folder.iterdir():
            if logs:
                Path(logs).mkdir(parents=True, exist_ok=True)
                (Path(logs) / path.name).write_bytes(path.read_bytes())
            path.unlink()
        self.folder.rmdir()


class NotRun(Exception):
    """The case could not be run."""


def step(count, estimate, cpu=1600, **fields):
    return {"count": count, "cpu": cpu, "memMb": 64, "estimateMs": estimate, **fields}


def run_case(folder, make_rig, body, durable_probes=True):
    """Runs body(rig), which returns the broken promises as lines of text; exits as the issue asks."""
    code, rig = NOT_RUN, None
    # So that the processes are ended also when the time limit of run.sh is reached.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        rig = make_rig()
        rig.start(durable_probes)
        problems = body(rig)
        for problem in problems[:20]:
            rig.record.add("BROKEN", rule=problem)
            print(problem)
        code = BROKEN if problems else HELD
        print(f"{len(problems)} broken promises; trouble {'on' if trouble() else 'off'}")
    except Exception as reason:  # a fault of the case itself is no result
        if not isinstance(reason, NotRun):
            traceback.print_exc()
        print(f"could not run: {reason}")
    finally:
        if rig:
            rig.close(keep=folder)
    sys.exit(code)
