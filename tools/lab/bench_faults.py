"""Seeded fault plans against real processes under load; the independent checker counts violations of G1 to G9.

Usage: tools/bench faults [--runs N] [--seed FIRST] [--seconds S] [--parallel P] [--build DIR] [--keep]
"""

import argparse
import http.client
import json
import shutil
import sys
import threading
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lab.checker import GUARANTEES, Checker, Deployment, count, read_lines  # noqa: E402
from lab.cluster import ROOT, Cluster, http_call  # noqa: E402
from lab.faultplan import make_plan  # noqa: E402
from lab.load import Load  # noqa: E402
from lab.operators import Operators  # noqa: E402
from lab.recorder import Recorder, now_ms  # noqa: E402

LOAD_S = 8.0
SETTLE_S = 4.0
WORKERS = {"himal": ("thamel-1", "patan-1", "patan-2", "baneshwor-1", "bhaktapur-1"),
           "qalhat": ("jebel-akhdar-1", "jebel-akhdar-2", "jebel-shams-1", "jebel-shams-2", "wadi-bani-awf-1")}


def max_starts(example):
    services = json.loads((ROOT / "examples" / example / "services.json").read_text())["services"]
    return {call["name"]: call.get("maxStarts", 1) for service in services for call in service["calls"]}


def make_cluster(build, example, seed):
    cluster = Cluster(build, example, proxied=True, seed=seed)
    names = WORKERS[example]
    cluster.worker_specs = [spec for spec in cluster.worker_specs if spec["name"] in names]
    return cluster


class Run:
    """One plan on one cluster."""

    def __init__(self, cluster, plan):
        self.cluster = cluster
        self.plan = plan
        self.recorder = Recorder(cluster.directory / "lab.records")
        self.operators = Operators(cluster, self.recorder)
        self.began = 0.0
        self._polling = threading.Event()

    # --- faults ---

    def restart(self, name):
        if self.cluster.processes[name].is_running():
            return
        kind, _, worker = name.partition("-")
        if kind == "entry":
            self.cluster.start_entry(next(s for s in self.cluster.entry_specs if s["name"] == name))
        else:
            spec = next(s for s in self.cluster.worker_specs if s["name"] == worker)
            (self.cluster.start_agent if kind == "agent" else self.cluster.start_target)(spec)

    def process_fault(self, fault):
        name = fault["process"]
        process = self.cluster.processes[name]
        began = now_ms()
        if fault["kind"] == "stop":
            process.begin_stop()
            code = process.wait()
            self.recorder.write("stop", process=name, atMs=began, exitedMs=now_ms(), exitCode=code)
            if name.startswith("target-"):
                self.recorder.write("leaving", target=name.partition("-")[2], atMs=began, untilMs=now_ms())
        elif fault["kind"] == "kill":
            process.kill()
        else:
            process.pause()
        time.sleep(fault["forS"])
        if fault["kind"] == "pause":
            process.resume()
        self.restart(name)

    def log_fault(self, fault):
        if fault["kind"] == "lost_appends":
            self.cluster.control_log(loseAnswers=fault["count"])
            return
        self.cluster.control_log(**({"failing": True} if fault["kind"] == "log_outage" else {"delayMs": 300}))
        time.sleep(fault["forS"])
        self.cluster.control_log(**({"failing": False} if fault["kind"] == "log_outage" else {"delayMs": 5}))

    def link_fault(self, fault):
        fields = {key: fault[key] for key in ("kind", "link", "peer", "direction", "delayMs", "jitterMs", "count")
                  if key in fault}
        self.cluster.control_proxy(add=[{**fields, "id": str(id(fault)), "forMs": int(fault["forS"] * 1000)}])
        time.sleep(fault["forS"])

    def inject(self, fault):
        self.sleep_until(fault["atS"])
        began = now_ms()
        if "process" in fault:
            self.process_fault(fault)
        elif "link" in fault:
            self.link_fault(fault)
        else:
            self.log_fault(fault)
        if fault["kind"] != "stop":
            self.recorder.write("fault", **fault, atMs=began, untilMs=now_ms())

    def operate(self, operation):
        self.sleep_until(operation["atS"])
        if operation["operation"] == "race":
            self.operators.race()
        else:
            self.operators.set_zone(operation["zone"],
                                    "withdrawn" if operation["operation"] == "withdraw" else "in_service")

    def operate_all(self):
        for operation in sorted(self.plan["operations"], key=lambda o: o["atS"]):
            self.operate(operation)

    def sleep_until(self, second):
        time.sleep(max(0.0, self.began + second - time.monotonic()))

    def caller_port(self, entry):
        """The proxy only where it injects faults: it accepts connections in place of an entry that refuses them."""
        if any(fault.get("link") == f"caller/{entry}" for fault in self.plan["faults"]):
            return self.cluster.caller_port(entry)
        return self.cluster.port(entry)

    # --- observation ---

    def poll_versions(self):
        while not self._polling.wait(0.25):
            for spec in self.cluster.entry_specs:
                began = now_ms()
                try:
                    status, shown = http_call(self.cluster.port(spec["name"]), "GET", "/v1/show", timeout=1)
                except (OSError, ValueError):
                    continue
                if status == 200:
                    self.recorder.write("version", process=spec["name"], version=shown["version"], atMs=began)

    def settle(self):
        """Waits until every process serves again; returns whether that was reached."""
        self.cluster.control_proxy(clear=True)
        end = time.monotonic() + 20
        ready = False
        while not ready and time.monotonic() < end:
            try:
                ready = all(self.cluster.is_ready(spec["name"]) for spec in self.cluster.entry_specs)
            except OSError:
                ready = False
            time.sleep(0.2)
        time.sleep(SETTLE_S)
        self.recorder.write("settled", atMs=now_ms())
        time.sleep(1.0)
        return ready

    def save_events(self):
        """Events of the system, for finding the cause only; the checker does not read them."""
        names = [spec["name"] for spec in self.cluster.entry_specs]
        names += [f"agent-{spec['name']}" for spec in self.cluster.worker_specs]
        for name in names:
            connection = http.client.HTTPConnection("127.0.0.1", self.cluster.port(name), timeout=5)
            try:
                connection.request("GET", "/v1/events")
                (self.cluster.directory / f"{name}.events").write_bytes(connection.getresponse().read())
            except (OSError, http.client.HTTPException):
                continue
            finally:
                connection.close()

    def check(self, example):
        deployment = Deployment({spec["name"]: spec["zone"] for spec in self.cluster.worker_specs},
                                max_starts(example))
        lab = read_lines(self.recorder.path)
        return Checker(deployment, self.cluster.target_records(), lab).check(), lab

    def execute(self, example):
        # The example's declarations are version 1.
        self.cluster.start()
        self.recorder.write("accepted", version=1, author="operator", atMs=now_ms())
        load = Load(self.cluster, self.recorder, self.plan["seed"], port_of=self.caller_port)
        threads = [threading.Thread(target=self.inject, args=(fault,)) for fault in self.plan["faults"]]
        threads.append(threading.Thread(target=self.operate_all))
        poller = threading.Thread(target=self.poll_versions)
        self.began = time.monotonic()
        load.start()
        for thread in (*threads, poller):
            thread.start()
        for thread in threads:
            thread.join()
        self.sleep_until(LOAD_S)
        load.end()
        ready = self.settle()
        self._polling.set()
        poller.join()
        violations, lab = self.check(example)
        if violations or not ready:
            self.save_events()
        calls = [record for record in lab if record["record"] == "call"]
        outcomes = {}
        for record in calls:
            outcomes[record["outcome"] or "none"] = outcomes.get(record["outcome"] or "none", 0) + 1
        # The caller waits three times its deadline; a call that has no response then is hanging in the system.
        hanging = sum("timed out" in record.get("error", "") for record in calls)
        return violations, {"calls": len(calls), "outcomes": outcomes, "recovered": ready, "hanging": hanging}


def run_plan(build, seed, keep):
    example = ("himal", "qalhat")[seed % 2]
    cluster = make_cluster(build, example, seed)
    zones = sorted({spec["zone"] for spec in cluster.worker_specs})
    plan = make_plan(seed, [s["name"] for s in cluster.entry_specs], [s["name"] for s in cluster.worker_specs], zones)
    result = {"seed": seed, "example": example, "plan": plan, "violations": [], "counts": count([])}
    with cluster:
        try:
            run = Run(cluster, plan)
            violations, facts = run.execute(example)
            result.update(facts, violations=[f"{v.guarantee}: {v.text}" for v in violations],
                          counts=count(violations))
        except Exception as error:  # pylint: disable=broad-except
            result["error"] = f"{type(error).__name__}: {error}"
    if result["violations"] or "error" in result or not result.get("recovered") or keep:
        result["directory"] = str(cluster.directory)
    else:
        shutil.rmtree(cluster.directory, ignore_errors=True)
    return result


def print_result(result):
    state = f"{len(result['violations'])} violations" if "error" not in result else f"error {result['error']}"
    print(f"seed {result['seed']} {result['example']}: {state}, {result.get('calls', 0)} calls "
          f"{result.get('outcomes', {})}, {result.get('hanging')} hanging, recovered {result.get('recovered')}", flush=True)
    if result["violations"] or "error" in result or not result.get("recovered"):
        print("  plan:", json.dumps({key: result["plan"][key] for key in ("faults", "operations")}))
        for text in result["violations"][:6]:
            print("  ", text)
        print("  records:", result["directory"], flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first plan; the next plans count up")
    parser.add_argument("--seconds", type=float, default=0, help="begin no further plan after this time")
    parser.add_argument("--parallel", type=int, default=2, help="clusters at a time")
    parser.add_argument("--build", default=str(ROOT / "build"))
    parser.add_argument("--keep", action="store_true", help="keep the records of all runs")
    options = parser.parse_args()
    print(f"first seed {options.seed}")
    results = []
    began = time.monotonic()
    with ProcessPoolExecutor(options.parallel) as pool:
        seeds = iter(range(options.seed, options.seed + options.runs))
        pending = {pool.submit(run_plan, options.build, seed, options.keep)
                   for _, seed in zip(range(options.parallel), seeds)}
        while pending:
            done = next(as_completed(pending))
            pending.remove(done)
            results.append(done.result())
            print_result(results[-1])
            if options.seconds and time.monotonic() - began > options.seconds:
                continue
            seed = next(seeds, None)
            if seed is not None:
                pending.add(pool.submit(run_plan, options.build, seed, options.keep))
    totals = {guarantee: sum(r["counts"][guarantee] for r in results) for guarantee in GUARANTEES}
    print(json.dumps({"bench": "faults", "seed": options.seed, "runs": len(results),
                      "errors": sum("error" in r for r in results),
                      "not_recovered": sorted(r["seed"] for r in results if not r.get("recovered")),
                      "hanging_calls": sum(r.get("hanging", 0) for r in results),
                      "violations": sum(totals.values()), **totals,
                      "violating_seeds": sorted(r["seed"] for r in results if r["violations"])}))
    return 1 if any(totals.values()) or any("error" in r for r in results) else 0


if __name__ == "__main__":
    sys.exit(main())
