"""A whole day of a site as real processes on loopback: entries, agents, workers, store, clients and troubles."""

import dataclasses
import json
import os
import multiprocessing
import random
import subprocess
import tempfile
import threading
import time
from collections import Counter, defaultdict
from pathlib import Path

from lab.cluster import PortBlocks, http_call, wait_until
from lab.daychecks import check_runs, is_record, split_stalled
from lab.dayclients import run_clients
from lab.daysite import Site
from lab.daytrace import lines_around
from lab.daytroubles import Troubles
from lab.dayworkers import Recorder, run_workers
from lab.fleet import Process
from lab.groupcut import peer_link
from lab.storestandin import StoreStandin

WORKER_PROCESSES, CLIENT_PROCESSES = 4, 2
# Waits after the last trouble, so that runs and clients come to an end.
CALM_S = 6
# Kept jobs of a day on which zones are cut off; their tasks take seconds.
KEPT_PER_S = 1.0


class DayProcess(Process):
    was_started = False
    # The machine is gone for good.
    is_removed = False

    def start(self):
        self.was_started = True
        super().start()

    def stop_with(self, number, grace_s):
        self.signal(number)
        try:
            self.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill()


def run_store(pipe, doors, config):
    """Main function of the process with the store. `doors` maps names of machines to ports."""
    names, faults = list(doors), {}

    def fault_of(_path, door):
        fault, share = faults.get(names[door]) or faults.get("all") or ("", 0)
        return fault if random.random() < share else ""

    store = StoreStandin(list(doors.values()))
    store.fault = fault_of
    store.write("keyed.op", "config", config)
    while command := pipe.recv():
        if command[0] == "fault":
            faults[command[1]] = command[2:] if command[2] else None
        else:
            getattr(store, command[0])(*command[1:])
    store.close()


class Day:
    def __init__(self, build, site_file, seed, seconds, only=(), without=(), rate=1.0):
        self.seed, self.seconds = seed, seconds
        block = f"127.{random.randrange(16, 250)}.{random.randrange(250)}"
        self.site = Site(site_file, block)
        self.site.rate *= rate
        self.plan = self.site.plan(seed, seconds, only, without) if only != ("calm",) else []
        if any(trouble["kind"] == "zone_cut" for _, trouble in self.plan):
            self.site.kept_per_s = KEPT_PER_S
        self.folder = Path(tempfile.mkdtemp(prefix="day-"))
        self.note_file = Recorder(self.folder / "day.jsonl")
        self._ports = PortBlocks()
        self._build = Path(build)
        self._version = 1
        self._lock = threading.Lock()
        self._links, self._doors, self._worker_ports, self._clients_at = [], {}, {}, []
        # By the name of the machine that was first at the address.
        self.processes = {}
        self._removed, self._spares_taken = [], set()
        self._children, self._pipes = [], defaultdict(list)
        for machine in self.site.machines:
            self._add_machine(machine)

    def _add_machine(self, machine):
        ports = {name: self._ports.next() for name in ("peer", "front", "ready", "control", "app")}
        self._doors[machine.name] = self._ports.next()
        ports["store"] = self._through_proxy(f"store/{machine.name}", f"127.0.0.1:{self._doors[machine.name]}")
        ports["peer_proxy"] = self._through_proxy(f"peer/{machine.name}", f"{machine.ip}:{ports['peer']}")
        self.processes[machine.name] = self._make_process(machine, ports)
        self._worker_ports[machine.name] = ports
        if machine.role == "entry":
            self._clients_at.append((machine.ip, ports["front"], machine.zone, machine.name))

    def _make_process(self, machine, ports):
        command, settings = self.site.settings(machine, ports)
        path = self.folder / f"{machine.name}.json"
        path.write_text(json.dumps(settings))
        binary = str((self._build / "turmericwell").resolve())
        return DayProcess(machine.name, [binary, command], path, path.with_suffix(".log"))

    def _through_proxy(self, link, address):
        listen = f"127.0.0.1:{self._ports.next()}"
        part, _, name = link.partition("/")
        opaque = {"name": link, "listen": listen, "to": address}
        self._links.append(peer_link(name, listen, address) if part == "peer" else opaque)
        return listen

    # --- commands of the troubles ---

    def note(self, what, **fields):
        with self._lock:
            self.note_file(what=what, **fields)

    def _send(self, group, command):
        with self._lock:
            for pipe in self._pipes[group]:
                try:
                    pipe.send(command)
                except BrokenPipeError:
                    pass  # The clients end before the last troubles do.

    def to_worker(self, name, method, *arguments):
        self._send("workers", (name, method, arguments))

    def next_spare(self):
        """Name of a machine that has not been added yet, or None."""
        with self._lock:
            for machine in self.site.machines:
                if machine.spare and machine.name not in self._spares_taken:
                    self._spares_taken.add(machine.name)
                    return machine.name
        return None

    def replace(self, name):
        """Starts a machine with a new name and a new worker at the address of the removed machine `name`."""
        with self._lock:
            self._removed.append(self.processes[name])
            machine = next(m for m in self.site.machines if m.name == name)
            new_name = f"{name}-{len(self._removed)}"
            self.processes[name] = self._make_process(dataclasses.replace(machine, name=new_name), self._worker_ports[name])
        self.processes[name].start()
        self.to_worker(name, "replace", new_name)

    def rewrite_settings(self, name):
        """Puts a file with the same settings in the place of the settings file."""
        path = self.folder / f"{self.processes[name].name}.json"
        new = path.with_suffix(".new")
        new.write_text(path.read_text())
        os.replace(new, path)

    def to_store(self, *command):
        self._send("store", command)

    def to_clients(self, settings):
        self._send("clients", settings)

    def configure(self, idle):
        with self._lock:
            self._version += 3
            config = self.site.configuration(self._version, idle)
        self.to_store("write", "keyed.op", "config", config)

    def add_fault(self, *faults):
        http_call(self._proxy_port, "POST", "/control", {"add": faults}, timeout=10)

    # --- run ---

    def _start_child(self, group, target, *arguments):
        ours, theirs = multiprocessing.Pipe()
        child = multiprocessing.Process(target=target, args=(theirs, *arguments), daemon=True)
        child.start()
        self._pipes[group].append(ours)
        self._children.append(child)

    def _start_proxy(self):
        plan = self.folder / "proxy.json"
        plan.write_text(json.dumps({"seed": self.seed, "links": self._links, "faults": []}))
        self._proxy_port = self._ports.next()
        self._proxy = subprocess.Popen([str(self._build / "turmericwell-standin"), "proxy", "--control",
                                        f"127.0.0.1:{self._proxy_port}", "--plan", str(plan)])
        wait_until(lambda: http_call(self._proxy_port, "POST", "/control", {})[0] == 200, 20, "the proxy")

    def _start_workers(self):
        agents = sorted((m for m in self.site.machines if m.role == "agent"), key=lambda m: m.spare)
        for number in range(WORKER_PROCESSES):
            machines = agents[number::WORKER_PROCESSES]
            options = {m.name: {"service": self.site.service, "ports": self._worker_ports[m.name],
                                "others": self._controls_after(m), "beat_s": self.site.beat_s,
                                "lease_s": 1.0, "stop_s": 0.05, "seed": self.seed} for m in machines}
            self._start_child("workers", run_workers, machines, options, self.folder / f"workers-{number}.jsonl")

    def _controls_after(self, machine):
        """Control addresses of the other agents, in the order of the machines from the next one on."""
        agents = [m for m in self.site.machines if m.role == "agent"]
        place = agents.index(machine)
        return [(m.ip, self._worker_ports[m.name]["control"]) for m in agents[place + 1:] + agents[:place]]

    def run(self):
        try:
            self._start_proxy()
            self._start_child("store", run_store, self._doors, self.site.configuration(1))
            self._start_workers()
            for machine in self.site.machines:
                if not machine.spare:
                    self.processes[machine.name].start()
            time.sleep(self.site.data["lead_s"] / 2)
            for number in range(CLIENT_PROCESSES):
                self._start_child("clients", run_clients, self.site, self._clients_at, 1 / CLIENT_PROCESSES,
                                  f"{self.seed}/{number}", self.seconds, self.folder / f"clients-{number}.jsonl")
            self._play()
        finally:
            self._stop()

    def _play(self):
        begin = time.monotonic()
        self.note("traffic")
        troubles = Troubles(self)
        for at, trouble in self.plan:
            time.sleep(max(0, begin + at - time.monotonic()))
            troubles.apply(trouble)
        time.sleep(max(0, begin + self.seconds - time.monotonic()))
        troubles.join()
        time.sleep(CALM_S)
        self.ended_early = [name for name, each in self.processes.items() if each.was_started and each.has_ended()
                            and not each.is_removed]

    def _stop(self):
        for process in (*self.processes.values(), *self._removed):
            process.kill()
        for pipes in self._pipes.values():
            for pipe in pipes:
                try:
                    pipe.send(None)
                except OSError:
                    pass
        for child in self._children:
            child.join(10)
            if child.is_alive():
                child.kill()
        self._proxy.kill()
        self._proxy.wait()
        self._ports.release()
        self.note_file.close()

    # --- checks ---

    def _events(self, pattern):
        rows = []
        for path in sorted(self.folder.glob(pattern)):
            with open(path, encoding="utf-8", errors="replace") as lines:
                rows += [json.loads(line) for line in lines if is_record(line)]
        return rows

    def check(self):
        """Fills `pairs`, `overfull` and `counts` from the records of workers and clients."""
        worker_rows = self._events("workers-*.jsonl")
        pairs, self.overfull = check_runs(worker_rows)
        self.pairs, self.stalled = split_stalled(pairs, worker_rows)
        self.counts = Counter(row["what"] for row in worker_rows)
        self.counts.update(f"answer {row['status']}" for row in self._events("clients-*.jsonl"))
        self.not_played = {row["kind"] for row in self._events("day.jsonl") if row["what"] == "trouble_not_played"}
        return self.pairs

    def trace(self, task):
        """Lines of all processes that name the task or its job as a whole, in time order."""
        job, wanted = task.split(".")[0], []
        for path in sorted([*self.folder.glob("*.log"), *self.folder.glob("*.jsonl")]):
            with open(path, encoding="utf-8", errors="replace") as lines:
                wanted += [(json.loads(line)["wall"], path.stem, line.strip()) for line in lines if job in line and is_record(line)]
        return [f"{wall} {name}: {line}" for wall, name, line in sorted(wanted) if task in line or '"task"' not in line]

    def trace_agent(self, pair):
        """What the agent of the first run did around the start of the second one."""
        first, second = pair
        log = self._events(f"{first['agent']}.log")
        worker = [row for row in self._events("workers-*.jsonl") if first["worker"] == row.get("worker")
                  or first["agent"] == row.get("agent")]
        return [f"    {first['agent']} {line}" for line in lines_around([*log, *worker], second["wall"])]

    def report(self):
        kinds = sorted({row["kind"] for _, row in self.plan} - self.not_played)
        print(f"{self.site.name} seed {self.seed}: {self.counts['start']} starts, {len(self.plan)} troubles {kinds}, "
              f"not played {sorted(self.not_played)}, {dict(sorted(self.counts.items()))}, "
              f"ended by themselves {self.ended_early}, {len(self.pairs)} pairs of runs at once "
              f"and {len(self.stalled)} on workers whose own process stood still, "
              f"{len(self.overfull)} starts on full workers", flush=True)
        for first, second in self.pairs:
            end = first.get("end", {})
            print(f"  TWICE {first['task']}: run {first['run']} on {first['worker']} ({first['agent']}) from {first['at']:.3f} "
                  f"to {end.get('at', 0):.3f} {end.get('what')}; run {second['run']} on {second['worker']} ({second['agent']}) "
                  f"from {second['at']:.3f}, {second['at'] - first['at']:.3f} s later, wall {second['wall']}")
