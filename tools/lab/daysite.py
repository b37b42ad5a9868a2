"""A site file as the day needs it: machines, traffic, classes of jobs, settings from the deploy templates, troubles."""

import json
import math
import random
import re
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

HOST = "day.example"
ROOT = Path(__file__).resolve().parents[2]
# Troubles that a site file does not list: workers that answer twice, connections that go silent for good,
# workers that start again under their id, and owners that change twice while runs are unknown.
OWN_TROUBLES = ({"kind": "repeat_answers"}, {"kind": "mute_conns"}, {"kind": "worker_restart"}, {"kind": "takeover_series"})
# Each group is drawn apart from the others, under a seed of its own, so that recorded seeds keep their plans.
# The first: workers that announce themselves to another agent while their own is down.
# The second: what else an agent and its worker may hear of each other, in the order of DEPLOY.md and PROTOCOL.md.
LATER_TROUBLES = {
    "later": ({"kind": "announce_elsewhere"},),
    "agents": tuple({"kind": kind} for kind in (
        "foreign_heartbeats", "odd_heartbeats", "late_heartbeats", "machine_removed", "restart_series",
        "worker_unreachable", "reset_then_kill", "worker_cut", "quota", "suspend", "notices", "hup")),
    "zones": ({"kind": "zone_cut"},),
}
# Seconds between the troubles of a group; the groups that are not named use the first. Cuts of zones that overlap without
# a pause leave nothing at work that they could meet.
PAUSES_S = {"": (0.3, 3.5), "zones": (6, 12)}
# Jobs that have to be kept, with two steps of long tasks. No site sends them; they are what a cut between zones meets.
KEPT_CLASS = {"name": "kept", "work_ms": {"mean": 5000, "spread": 0.3, "max": 9000}, "attempts": 3, "priority": 1,
              "deadline_ms": 1500, "jobs": {"width": {"mean": 2}, "cpu": {"mean": 1000}, "stretch": 3}}


@dataclass
class JobClass:
    name: str
    rate: float
    work_ms: dict
    width: dict
    cpu: dict
    estimate_error: float
    error_share: float
    attempts: int
    priority: int
    stretch: float
    deadline_ms: int
    best_effort: bool
    # Each step depends on the one before it.
    steps: int = 1

    @property
    def prefix(self):
        return f"/{self.name}/"

    def draw(self, choice, hopeless=False):
        """A job's body. Its spec tells the stand-in workers how long its tasks work and whether they fail."""
        work = drawn(choice, self.work_ms)
        width = max(1, round(drawn(choice, self.width)))
        cpu = round(drawn(choice, self.cpu))
        spec = {"work": round(work), "fail": 1 if hopeless else self.error_share, "cpu": cpu}
        estimate = work * math.exp(choice.gauss(0, self.estimate_error))
        step = {"count": width, "cpu": cpu, "memMb": 64, "estimateMs": max(1, round(estimate))}
        steps = [step, *[{**step, "after": [number]} for number in range(self.steps - 1)]]
        return {"spec": json.dumps(spec), "steps": steps, **({"bestEffort": True} if self.best_effort else {})}


@dataclass
class Machine:
    name: str
    role: str
    zone: str
    share: float
    ip: str
    cpu: int = 0
    labels: list = field(default_factory=list)
    # Not running until a trouble adds it.
    spare: bool = False


def drawn(choice, figure):
    spread = figure.get("spread", 0)
    value = figure["mean"] * math.exp(choice.gauss(0, spread) - spread * spread / 2)
    return min(value, figure.get("max", value))


def render(template, fields):
    """Fills the placeholders {{a}}, {{a.b}}, {{a.0}} and their |json form."""
    def value(match):
        name, _, form = match.group(1).partition("|")
        found = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if form else str(found)
    return re.sub(r"{{([^{}]+)}}", value, template)


class Site:
    def __init__(self, path, address_block):
        self.data = tomllib.loads(Path(path).read_text())
        self.name = self.data["name"]
        self.zones = [zone["name"] for zone in self.data["zones"]]
        self.service = self.data["services"][0]["name"]
        self.machines = []
        for group in self.data["machines"]:
            self._add_machines(group, address_block)
        self.traffic = self.data["traffic"]
        self.rate = sum(row["per_s"] for row in self.traffic)
        mix = self.traffic[0]["mix"]
        self.classes = [self._job_class(row, mix.get(row["name"], 0) / sum(mix.values())) for row in self.data["classes"]]
        self.kept_class = self._job_class(KEPT_CLASS, 0)
        self.kept_class.steps = 2
        # Kept jobs a second; none unless a trouble of the day asks for them.
        self.kept_per_s = 0
        self.resend_s = self.data["timing"]["resend_ms"] / 1000
        self.grace_s = self.data["bounds"]["grace_s"]
        self.beat_s = self.data["discovery"]["beat_ms"] / 1000
        self.drain_s = self.data["bounds"]["drain_ms"] / 1000
        self.reuse_after_s = self.data["bounds"].get("reuse_after_s", 2)
        self.troubles = [*self.data["troubles"], *OWN_TROUBLES]

    def _add_machines(self, group, address_block):
        role = {"front": "entry", "side": "agent"}[group["class"]]
        for index in range(group["count"] + (group.get("spare", 0) if role == "agent" else 0)):
            name = f"{'edge' if role == 'entry' else 'side'}-{group['zone']}-{index + 1}"
            number = len(self.machines)
            machine = Machine(name, role, group["zone"], group["cpu_share"], f"{address_block}.{number + 1}",
                              spare=index >= group["count"])
            if role == "agent":
                node = self.data["services"][0]["node"]
                workers = sum(1 for each in self.machines if each.role == "agent")
                kind = workers % len(node["kinds"])
                machine.cpu = round(node["cpu"] * node["sizes"][kind])
                machine.labels = [node["kinds"][kind], f"r{self.zones.index(group['zone']) + 1}-{index // node['rack'] + 1}"]
            self.machines.append(machine)

    @staticmethod
    def _job_class(row, rate):
        jobs = row["jobs"]
        return JobClass(name=row["name"], rate=rate, work_ms=row["work_ms"], width=jobs["width"], cpu=jobs["cpu"],
                        estimate_error=jobs.get("est_off", 0), error_share=row.get("error_share", 0),
                        attempts=row["attempts"], priority=row["priority"], stretch=jobs["stretch"],
                        deadline_ms=int(row["deadline_ms"]), best_effort=jobs.get("loose", False))

    def configuration(self, version, idle=0):
        routes = [{"name": each.name, "host": HOST, "pathPrefix": each.prefix, "routeType": "non_idempotent",
                   "timeoutMs": each.deadline_ms, "targetLatencyMs": 60, "priority": each.priority,
                   "service": self.service, "attempts": each.attempts, "stretch": each.stretch}
                  for each in [*self.classes, self.kept_class]]
        routes += [{**routes[0], "name": f"idle-{n}", "pathPrefix": f"/idle-{n}/"} for n in range(idle)]
        return json.dumps({"version": version, "routes": routes, "services": [{"name": self.service}],
                           "limits": {}}).encode()

    def settings(self, machine, ports):
        """Settings of a process: the template of its role, with the links through the proxy."""
        bounds = {"maxHoldMs": int(self.data["timing"]["hold_max_ms"]), "graceS": int(self.grace_s),
                  "resendMs": int(self.resend_s * 1000)}
        fields = {"node": machine.name, "zone": machine.zone, "ip": machine.ip, "portRange": [ports["peer"]],
                  "platform": {"address": ports["store"], "parts": self.data["platform"]["parts"], "minTtlMs": 1000},
                  "listen": {"front": f"{machine.ip}:{ports['front']}", "ready": f"{machine.ip}:{ports['ready']}",
                             "control": f"{machine.ip}:{ports['control']}"},
                  "app": f"{machine.ip}:{ports['app']}", "bounds": bounds,
                  "limits": {"cpuShare": machine.share, "cores": 1, "memoryMb": 120, "maxFds": 3075}}
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][machine.role]
        settings = json.loads(render((ROOT / role["template"]).read_text(), fields))
        settings["peerAddress"] = ports["peer_proxy"]
        return role["run"].split()[1], settings

    def plan(self, seed, seconds, only=(), without=()):
        """Rows (at, trouble), in time order; several overlap, and some come in series."""
        rows = self._draw(f"{self.name}/{seed}", self.troubles, seconds, only, without)
        for group, troubles in LATER_TROUBLES.items():
            rows += self._draw(f"{self.name}/{seed}/{group}", troubles, seconds, only, without, PAUSES_S.get(group))
        return sorted(rows, key=lambda pair: pair[0])

    @staticmethod
    def _draw(seed, troubles, seconds, only, without, pause_s=None):
        choice = random.Random(seed)
        kinds = [each for each in troubles if (not only or each["kind"] in only) and each["kind"] not in without]
        rows, at = [], 2.0
        if not kinds:
            return rows
        while at < seconds - 2:
            trouble = choice.choice(kinds)
            repeats = 1 if pause_s else choice.choice((1, 1, 1, 2, 3))
            for repeat in range(repeats):
                row = {**trouble, "for_s": min(trouble.get("for_s", choice.uniform(2, 6)) * choice.uniform(0.3, 1.2), seconds / 3),
                       "draw": choice.random()}
                rows.append((at + repeat * choice.uniform(0.5, 2.5), row))
            at += choice.uniform(*(pause_s or PAUSES_S[""]))
        return [(at, row) for at, row in rows if at < seconds]
