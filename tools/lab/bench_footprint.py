"""Control cost of one idle agent and one idle entry, for several numbers of agents, with the slope.

cpu_pct: processor time over wall time. rss_mb: resident memory at the end. bytes_per_s: bytes on the framed links (and
the log link of the entry), both directions, counted by a proxy on them.

Usage: tools/bench footprint [--agents 5,20,40] [--seconds S] [--build DIR]
"""

import argparse
import json
import statistics
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lab.cluster import ROOT  # noqa: E402
from lab.fleet import cpu_seconds, make_fleet, resident_mb, slope  # noqa: E402

DESIGN_AGENTS = 5_300


def measure(build, agents, seconds):
    with make_fleet(build, "himal", agents, proxied=True) as cluster:
        cluster.start()
        time.sleep(3.0)

        def sample():
            links = cluster.control_proxy()[1]["links"]
            cpu = {name: cpu_seconds(p.popen.pid) for name, p in cluster.processes.items()}
            return time.monotonic(), cpu, links["link/entry-1"]["bytes"], links["log/entry-1"]["bytes"]
        began, cpu_before, link_before, log_before = sample()
        time.sleep(seconds)
        ended, cpu_after, link_after, log_after = sample()
        passed = ended - began
        names = [name for name in cluster.processes if name.startswith("agent-")]

        def cpu_pct(name):
            return 100 * (cpu_after[name] - cpu_before[name]) / passed

        def rss(name):
            return resident_mb(cluster.processes[name].popen.pid)
        link = (link_after - link_before) / passed
        return {"agents": agents,
                "agent": {"cpu_pct": round(statistics.mean(map(cpu_pct, names)), 3),
                          "rss_mb": round(max(map(rss, names)), 1), "bytes_per_s": round(link / agents, 1)},
                "entry": {"cpu_pct": round(cpu_pct("entry-1"), 3), "rss_mb": round(rss("entry-1"), 1),
                          "bytes_per_s": round(link + (log_after - log_before) / passed, 1)}}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--agents", default="5,20,40")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--build", default=str(ROOT / "build"))
    options = parser.parse_args()
    results = []
    for agents in map(int, options.agents.split(",")):
        results.append(measure(options.build, agents, options.seconds))
        print(json.dumps(results[-1]), flush=True)
    summary = {"bench": "footprint", "seed": None, "agents": [r["agents"] for r in results], "measured": results}
    for role in ("agent", "entry"):
        for figure in ("cpu_pct", "rss_mb", "bytes_per_s"):
            growth, base = slope([(r["agents"], r[role][figure]) for r in results])
            summary[f"{role}_{figure}"] = {"at_zero": round(base, 3), "per_agent": round(growth, 5),
                                           "extrapolated_5300": round(base + growth * DESIGN_AGENTS, 1)}
    print(json.dumps(summary))
    return 0


if __name__ == "__main__":
    sys.exit(main())
