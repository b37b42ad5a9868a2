"""A cluster with any number of agents, whose workers are spread over the zones of an example."""

import os

from lab.cluster import Cluster

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def make_fleet(build, example, agents, entries=1, proxied=False):
    cluster = Cluster(build, example, entries=entries, proxied=proxied)
    zones = sorted({spec["zone"] for spec in cluster.worker_specs})
    cluster.worker_specs = [{"name": f"w{i}", "zone": zones[i % len(zones)], "rack": f"rack-{i // 3}"}
                            for i in range(agents)]
    return cluster


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def slope(points):
    """Least squares: (growth for each unit of x, value at x = 0)."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    growth = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return growth, mean_y - growth * mean_x
