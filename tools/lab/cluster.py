"""A cluster of real processes on loopback: log stand-in, entries, agents and stand-in targets."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


class PortBlocks:
    """TCP ports for the processes of one cluster.

    They come in blocks whose first port stays bound, so that clusters that run at the same time take different blocks.
    All lie below the kernel's range for outgoing connections: a port of that range can be taken while its process
    restarts, and a dial to it can connect to itself while nobody listens.
    """

    FIRST, LAST, SIZE = 10_240, 32_000, 128

    def __init__(self):
        self._reserved = []
        self._free = []

    def _reserve(self):
        blocks = list(range(self.FIRST, self.LAST, self.SIZE))
        random.shuffle(blocks)
        for block in blocks:
            holder = socket.socket()
            try:
                holder.bind(("127.0.0.1", block))
            except OSError:
                holder.close()
                continue
            self._reserved.append(holder)
            self._free = list(range(block + 1, block + self.SIZE))
            return
        raise RuntimeError("no free block of ports")

    def next(self):
        while True:
            if not self._free:
                self._reserve()
            port = self._free.pop(0)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue

    def release(self):
        for holder in self._reserved:
            holder.close()
        self._reserved = []
        self._free = []


def http_call(port, method, path, body=None, headers=None, timeout=60):
    """Sends one request and returns (status, parsed JSON body)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = json.dumps(body) if body is not None and not isinstance(body, str) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        text = response.read().decode()
        return response.status, json.loads(text) if text else None
    finally:
        connection.close()


def wait_until(condition, timeout, what):
    """Polls until condition() is true; the timeout only bounds a hang."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"timed out waiting for {what}")


class Process:
    """One child process, ended by its own id."""

    def __init__(self, name, arguments, directory):
        self.name = name
        self.log_path = Path(directory) / f"{name}.log"
        self._log = open(self.log_path, "ab")
        self.popen = subprocess.Popen([str(a) for a in arguments], stdin=subprocess.DEVNULL,
                                      stdout=self._log, stderr=self._log)

    def signal(self, number):
        if self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()
        self._log.close()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def begin_stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)

    def stop(self, timeout=40):
        """Graceful stop; returns the exit code."""
        self.begin_stop()
        return self.wait(timeout)

    def wait(self, timeout=40):
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def is_running(self):
        return self.popen.poll() is None


class Cluster:
    """Processes of one deployment. Use as a context manager: leaving it ends every process."""

    def __init__(self, build, example="himal", entries=None, workers=None, entry_settings=None, agent_settings=None,
                 log_arguments=(), proxied=False, seed=1):
        self.build = Path(build)
        self.example = ROOT / "examples" / example
        self.deployment = json.loads((self.example / "deployment" / "deployment.json").read_text())
        self.directory = Path(tempfile.mkdtemp(prefix="turmericwell-"))
        self.entry_specs = self.deployment["entries"][:entries]
        self.worker_specs = self.deployment["workers"][:workers]
        self.entry_settings = entry_settings or {}
        self.agent_settings = agent_settings or {}
        self.log_arguments = list(log_arguments)
        self.proxied = proxied
        self.seed = seed
        self.processes = {}
        self.ports = {}
        self._blocks = PortBlocks()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.kill_all()

    def binary(self, name="turmericwell"):
        return self.build / name

    def port(self, name):
        if name not in self.ports:
            self.ports[name] = self._blocks.next()
        return self.ports[name]

    def address(self, name):
        return f"127.0.0.1:{self.port(name)}"

    def spawn(self, name, arguments):
        self.processes[name] = Process(name, arguments, self.directory)
        return self.processes[name]

    # --- roles ---

    def start_log(self):
        return self.spawn("log", [self.binary("turmericwell-standin"), "log", "--listen", self.address("log"),
                                  *self.log_arguments])

    def write_settings(self, name, settings):
        path = self.directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        return path

    # --- links; with `proxied` a fault-injecting proxy stands on each of them ---

    def proxy_links(self):
        """Links by name: link/ENTRY (agents and peers), caller/ENTRY, log/ENTRY, target/WORKER."""
        links = []
        for spec in self.entry_specs:
            name = spec["name"]
            links.append({"name": f"link/{name}", "to": self.address(f"{name}/link"), "framed": True})
            links.append({"name": f"caller/{name}", "to": self.address(name)})
            links.append({"name": f"log/{name}", "to": self.address("log")})
        for spec in self.worker_specs:
            links.append({"name": f"target/{spec['name']}", "to": self.address(f"target-{spec['name']}")})
        return [{**link, "listen": self.address(f"proxy/{link['name']}")} for link in links]

    def start_proxy(self, faults=()):
        path = self.write_settings("proxy", {"seed": self.seed, "links": self.proxy_links(), "faults": list(faults)})
        process = self.spawn("proxy", [self.binary("turmericwell-standin"), "proxy", "--control",
                                       self.address("proxy"), "--plan", path])
        wait_until(lambda: self.control_proxy()[0] == 200, 20, "the proxy")
        return process

    def control_proxy(self, **fields):
        """Adds faults (add=[...]), removes them (remove=[id...]) or all (clear=True)."""
        return http_call(self.port("proxy"), "POST", "/control", fields, timeout=10)

    def through_proxy(self, link, direct):
        return self.address(f"proxy/{link}") if self.proxied else self.address(direct)

    def link_address(self, entry, user):
        """Address at which `user` reaches the framed port of an entry; the proxy tells users apart by their hello."""
        del user
        return self.through_proxy(f"link/{entry}", f"{entry}/link")

    def log_address(self, user):
        return self.through_proxy(f"log/{user}", "log")

    def target_address(self, worker):
        """Address at which the agent of a worker reaches its target."""
        return self.through_proxy(f"target/{worker}", f"target-{worker}")

    def caller_port(self, entry):
        return int(self.through_proxy(f"caller/{entry}", entry).rsplit(":", 1)[1])

    def start_entry(self, spec):
        name = spec["name"]
        settings = {
            "name": name, "zone": spec["zone"], "listen": self.address(name),
            "linkListen": self.address(f"{name}/link"), "log": self.log_address(name),
            "linkAnnounced": self.link_address(name, name),
            "peers": [self.link_address(other["name"], name) for other in self.entry_specs if other["name"] != name],
            **self.entry_settings,
        }
        path = self.write_settings(name, settings)
        return self.spawn(name, [self.binary(), "entry", "--settings", path])

    def start_agent(self, spec):
        name = f"agent-{spec['name']}"
        settings = {
            "name": name, "zone": spec["zone"], "rack": spec["rack"], "worker": spec["name"],
            "listen": self.address(name),
            "entries": [self.link_address(entry["name"], name) for entry in self.entry_specs],
            **self.agent_settings,
        }
        path = self.write_settings(name, settings)
        return self.spawn(name, [self.binary(), "agent", "--settings", path])

    def record_path(self, spec):
        return self.directory / f"target-{spec['name']}.records"

    def start_target(self, spec):
        name = f"target-{spec['name']}"
        return self.spawn(name, [
            self.binary("turmericwell-standin"), "target", "--name", spec["name"],
            "--service", self.deployment["service"], "--listen", self.address(name),
            "--announced", self.target_address(spec["name"]),
            "--agent", self.address(f"agent-{spec['name']}"), "--slots", self.deployment["slots"],
            "--connections", self.deployment["connections"], "--cores", self.deployment["cores"],
            "--memory-gb", self.deployment["memoryGb"], "--rack", spec["rack"],
            "--record-file", self.record_path(spec),
        ])

    def start(self):
        """Starts all roles, applies the example's declarations and waits until all targets can be used."""
        self.start_log()
        if self.proxied:
            self.start_proxy()
        for spec in self.entry_specs:
            self.start_entry(spec)
        for spec in self.worker_specs:
            self.start_agent(spec)
            self.start_target(spec)
        wait_until(lambda: http_call(self.port("log"), "POST", "/control", {})[0] == 200, 20, "the log")
        self.apply()
        self.wait_ready()
        self.wait_targets()

    def wait_ready(self):
        for spec in self.entry_specs:
            wait_until(lambda name=spec["name"]: self.is_ready(name), 30, f"{spec['name']} to be ready")

    def is_ready(self, entry):
        status, shown = http_call(self.port(entry), "GET", "/v1/show")
        return (status == 200 and shown["current"] and shown["agents"] == len(self.worker_specs)
                and len(shown["entries"]) == len(self.entry_specs) and shown["version"] > 0)

    def wait_targets(self):
        for spec in self.entry_specs:
            wait_until(lambda name=spec["name"]: self.uses_targets(name), 30, f"the targets of {spec['name']}")

    def uses_targets(self, entry):
        """Whether the entry gives tasks to all targets.

        An agent is connected before its target has announced itself, and reports itself as leaving until a pong has
        told it that an entry is current. Its version is 0 until it has pinged since its last hello.
        """
        shown = http_call(self.port(entry), "GET", "/v1/show")[1]
        agents = shown["agentVersions"]
        return (len(agents) == len(self.worker_specs)
                and all(agent["target"] and agent["version"] == shown["version"] and not agent["leaving"] for agent in agents))

    # --- operator and caller ---

    def run(self, *arguments):
        """Runs one turmericwell command and returns the completed process."""
        return subprocess.run([str(self.binary()), *map(str, arguments)], capture_output=True, text=True, timeout=60,
                              check=False)

    def apply(self, directory=None, author="operator"):
        return self.run("apply", directory or self.example, "--log", self.address("log"), "--author", author)

    def request(self, entry, key, call, payload=None, **fields):
        return http_call(self.caller_port(entry), "POST", f"/v1/services/{self.deployment['service']}/requests",
                         {"call": call, "payload": payload, **fields}, {"Idempotency-Key": key})

    def job(self, entry, key, call, tasks, **fields):
        return http_call(self.caller_port(entry), "POST", "/v1/jobs",
                         {"key": key, "service": self.deployment["service"], "call": call, "tasks": tasks, **fields})

    def control_log(self, **fields):
        return http_call(self.port("log"), "POST", "/control", fields)

    def target_records(self):
        """All starts and ends that the stand-in targets wrote themselves."""
        records = []
        for spec in self.worker_specs:
            path = self.record_path(spec)
            if path.exists():
                records += [json.loads(line) for line in path.read_text().splitlines() if line.endswith("}")]
        return sorted(records, key=lambda record: record["timeMs"])

    # --- end ---

    def keep_logs(self, folder):
        """Copies what the processes wrote, and the records of the targets."""
        folder.mkdir(parents=True, exist_ok=True)
        for path in sorted([*self.directory.glob("*.log"), *self.directory.glob("*.records")]):
            shutil.copy(path, folder)

    def stop_all(self):
        """Stops every process gracefully, targets first; returns the exit codes by name."""
        codes = {}
        for prefix in ("target-", "agent-", "entry-", "proxy", "log"):
            group = [(name, p) for name, p in self.processes.items() if name.startswith(prefix) and p.is_running()]
            for _, process in group:
                process.begin_stop()
            for name, process in group:
                codes[name] = process.wait()
        return codes

    def kill_all(self):
        for process in self.processes.values():
            process.kill()
        self._blocks.release()
