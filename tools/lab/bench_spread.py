"""Time from the acceptance of a configuration change until it is in force on every process, by number of agents.

Acceptance is the time at which the log took the record. In force is the time in the event config_accepted of each
entry and agent; all processes share one clock.

Usage: tools/bench spread [--agents 10,50,100,200] [--changes N] [--build DIR]
"""

import argparse
import http.client
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lab.cluster import ROOT, http_call, wait_until  # noqa: E402
from lab.fleet import make_fleet, slope  # noqa: E402
from lab.operators import Operators  # noqa: E402
from lab.recorder import Recorder  # noqa: E402


def versions(port):
    """Time at which each configuration version came into force on a process."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
    try:
        connection.request("GET", "/v1/events")
        events = [json.loads(line) for line in connection.getresponse().read().splitlines()]
    finally:
        connection.close()
    result = {}
    for event in events:
        if event["kind"] == "config_accepted":
            result.setdefault(event["configVersion"], event["timeMs"])
    return result


def measure(build, agents, changes):
    with make_fleet(build, "himal", agents, entries=3) as cluster:
        cluster.start()
        operators = Operators(cluster, Recorder(cluster.directory / "lab.records"))
        for change in range(changes):
            operators.weight += 1
            zone = "thamel"
            if change % 2 == 0:
                operators.withdrawn.add(zone)
            else:
                operators.withdrawn.discard(zone)
            if operators.apply("operator") is None:
                raise RuntimeError("a change was not accepted")
            time.sleep(1.0)
        last = changes + 1
        ports = [cluster.port(spec["name"]) for spec in cluster.entry_specs]
        ports += [cluster.port(f"agent-{spec['name']}") for spec in cluster.worker_specs]
        wait_until(lambda: all(last in versions(port) for port in ports), 30, "the last change on every process")
        records = http_call(cluster.port("log"), "GET", "/v1/streams/config/records?from=0&max=1000")[1]["records"]
        accepted = [r["timeMs"] for r in records if json.loads(r["data"])["type"] == "change"]
        delays = []
        for port in ports:
            seen = versions(port)
            for version in range(2, last + 1):
                # A process that skipped a version has it in force with the next one that it took.
                at = min(time_ms for taken, time_ms in seen.items() if taken >= version)
                delays.append((at - accepted[version - 1]) / 1000)
    delays.sort()
    return {"agents": agents, "samples": len(delays), "p50_s": delays[len(delays) // 2],
            "p99_s": delays[min(len(delays) - 1, int(len(delays) * 0.99))], "max_s": delays[-1]}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--agents", default="10,50,100,200")
    parser.add_argument("--changes", type=int, default=8)
    parser.add_argument("--build", default=str(ROOT / "build"))
    options = parser.parse_args()
    results = []
    for agents in map(int, options.agents.split(",")):
        results.append(measure(options.build, agents, options.changes))
        print(json.dumps(results[-1]), flush=True)
    growth = {figure: round(slope([(r["agents"], r[figure]) for r in results])[0], 6) for figure in ("p99_s", "max_s")}
    print(json.dumps({"bench": "spread", "seed": None, "measured": results,
                      "p99_s": max(r["p99_s"] for r in results), "max_s": max(r["max_s"] for r in results),
                      "per_agent": growth}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
