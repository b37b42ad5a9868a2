"""What the troubles of a site file do to the processes, links, store, workers and clients of a day."""

import math
import random
import signal
import threading
import time

from lab.dayagenttroubles import AgentTroubles
from lab.groupcut import group_cut

# A slow machine runs for a slice, then is paused for the rest of its factor.
SLOW_SLICE_S = 0.01


class Troubles(AgentTroubles):
    """Applies one trouble at a time in threads of its own; `day` gives processes and commands."""

    def __init__(self, day):
        self.day = day
        self._number = 0
        self._threads = []
        self._lock = threading.Lock()

    def apply(self, trouble):
        thread = threading.Thread(target=self._apply, args=(trouble,), daemon=True)
        thread.start()
        self._threads.append(thread)

    def join(self):
        for thread in self._threads:
            thread.join(60)

    def _apply(self, trouble):
        action = getattr(self, "_" + trouble["kind"], None)
        if action is None:
            self.day.note("trouble_not_played", kind=trouble["kind"])
            return
        self.day.note("trouble", **trouble)
        action(trouble, random.Random(trouble["draw"]))
        self.day.note("trouble_over", kind=trouble["kind"])

    # --- choices ---

    def _names(self, trouble, choice, role=None):
        """Machines by `share` or `count`; `core` troubles meet the entries first."""
        role = role or {"core": "entry", "side": "agent"}.get(trouble.get("on"))
        names = [m.name for m in self.day.site.machines if not m.spare and role in (None, m.role)]
        count = trouble.get("count") or max(1, math.ceil(len(names) * trouble.get("share", 0.1)))
        return choice.sample(names, min(count, len(names)))

    # --- processes ---

    def _restart(self, name, number, away_s, power=False):
        process = self.day.processes[name]
        with process.lock:
            if power:
                self._cut_power(process, name, away_s)
            else:
                process.stop_with(number, self.day.site.grace_s)
            time.sleep(away_s)
            if not process.is_removed:
                process.start()

    def _cut_power(self, process, name, away_s):
        """The others see no end of a connection until the machine is back; nothing that it sent arrives late."""
        process.signal(signal.SIGSTOP)
        time.sleep(0.02)
        self._link("drop", name, away_s)
        process.kill()

    def _together(self, names, action, gap_s=0.0):
        threads = []
        for name in names:
            threads.append(threading.Thread(target=action, args=(name,), daemon=True))
            threads[-1].start()
            time.sleep(gap_s)
        for thread in threads:
            thread.join()

    def _node_kill(self, trouble, choice):
        how = trouble.get("how", "")
        number = signal.SIGTERM if "drain" in how else signal.SIGKILL
        away_s = min(trouble.get("for_s", 1), 3.5) * choice.uniform(0.05, 1)
        self._together(self._names(trouble, choice), lambda name: self._restart(name, number, away_s, "power" in how))

    def _herd_kill(self, trouble, choice):
        away_s = choice.uniform(0.3, 3)
        names = self._names({**trouble, "count": 99}, choice)
        self._together(names, lambda name: self._restart(name, signal.SIGKILL, away_s, "power" in trouble.get("how", "")))

    def _takeover_series(self, _trouble, choice):
        """Agents restart one by one, then all entries are killed twice, while tasks overrun and orders are not answered."""
        for name in self._names({"share": 1}, choice, "agent"):
            if choice.random() < 0.3:
                self.day.to_worker(name, "fault", "slow", choice.choice((2.5, 6.5)))
            self.day.to_worker(name, "fault", "unanswered", 0.15)
        time.sleep(0.5)
        self._together(self._names({"count": 3}, choice, "agent"), lambda name: self._restart(name, signal.SIGKILL, 0.1), 0.3)
        for gap_s in (0.55, choice.uniform(0.5, 3)):
            self._together(self._names({"share": 1}, choice, "entry"), lambda name: self._restart(name, signal.SIGKILL, 0.02))
            time.sleep(gap_s)
        for kind in ("slow", "unanswered"):
            self._worker_fault({"for_s": 0, "share": 1}, choice, kind, None)

    def _after_ack_kill(self, trouble, choice):
        self._config_change(trouble, choice)
        self._node_kill({"count": 1, "how": "power", "for_s": trouble["for_s"]}, choice)

    def _replace_core(self, trouble, choice):
        self._node_kill({"count": 1, "on": "core", "how": "drain" if "planned" in trouble.get("how", "") else "power",
                         "for_s": 3}, choice)

    def _roll_term(self, trouble, choice):
        self._together(self._names(trouble, choice), lambda name: self._restart(name, signal.SIGTERM, 0.3),
                       trouble.get("gap_s", 1) * choice.uniform(0.3, 1))

    def _node_freeze(self, trouble, choice):
        self._together(self._names(trouble, choice), lambda name: self._pause(name, trouble["for_s"]))

    def _pause(self, name, length_s):
        process = self.day.processes[name]
        with process.lock:
            process.signal(signal.SIGSTOP)
            time.sleep(length_s)
            process.signal(signal.SIGCONT)

    def _node_slow(self, trouble, choice):
        self._together(self._names(trouble, choice), lambda name: self._slow(name, trouble["x"], trouble["for_s"]))

    def _slow(self, name, factor, length_s):
        end = time.monotonic() + length_s
        process = self.day.processes[name]
        with process.lock:
            while time.monotonic() < end:
                process.signal(signal.SIGSTOP)
                time.sleep(SLOW_SLICE_S * (factor - 1))
                process.signal(signal.SIGCONT)
                time.sleep(SLOW_SLICE_S)

    def _add_nodes(self, _trouble, _choice):
        while spare := self.day.next_spare():
            self._add_machine(spare)

    def _add_machine(self, name):
        self.day.processes[name].start()
        self.day.to_worker(name, "start")

    _scale_out = _add_nodes

    # --- links ---

    def _link(self, kind, name, length_s, fault_id=None, **more):
        with self._lock:
            self._number += 1
            fault_id = fault_id or f"f{self._number}"
        for part in more.pop("parts", ("peer", "store")):
            self.day.add_fault({"kind": kind, "link": f"{part}/{name}", "forMs": int(length_s * 1000), "id": fault_id, **more})

    def _node_cut(self, trouble, choice):
        for name in self._names(trouble, choice):
            self._link("drop", name, trouble["for_s"])
        time.sleep(trouble["for_s"])

    def _zone_cut(self, trouble, choice):
        """Zones, most of them or few, that reach neither the others nor the store."""
        zones = choice.sample(self.day.site.zones, choice.randint(1, len(self.day.site.zones) - 1))
        machines = self.day.site.machines
        inside = [machine.name for machine in machines if machine.zone in zones]
        outside = [machine.name for machine in machines if machine.zone not in zones]
        with self._lock:
            self._number += 1
            fault_id = f"f{self._number}"
        self.day.add_fault(*group_cut(inside, outside, trouble["for_s"], fault_id))
        time.sleep(trouble["for_s"])

    def _core_cut(self, trouble, choice):
        how = trouble.get("how", "")
        for name in self._names({"count": 1, **trouble, "on": "core"}, choice):
            if "refuse" in how:
                self._store_for(trouble["for_s"], name, "refuse")
            else:
                self._link("reset" if "reset" in how else "drop", name, trouble["for_s"], parts=("store",))
        time.sleep(trouble["for_s"])

    def _reset_conns(self, trouble, choice):
        for name in self._names(trouble, choice):
            self._link("reset", name, choice.choice((0.02, 0.3)))
            self.day.to_worker(name, "reset_connections")

    def _mute_conns(self, _trouble, choice):
        """Open connections go silent for good. The proxy resets those between processes when it ends the silence."""
        for name in self._names({"share": 0.3}, choice):
            if choice.random() < 0.5:
                self.day.to_worker(name, "mute_connections")
            else:
                self._link(choice.choice(("drop", "half_open")), name, choice.uniform(0.5, 3), direction=choice.choice(("up", "down")))

    def _lossy(self, trouble, choice):
        names = [m.name for m in self.day.site.machines if m.zone == trouble.get("zone", m.zone)]
        for name in names:
            self._link("delay", name, trouble["for_s"], delayMs=1, jitterMs=choice.choice((30, 200)))
        time.sleep(trouble["for_s"])

    # --- store ---

    def _store_for(self, length_s, name, fault, share=1.0):
        self.day.to_store("fault", name, fault, share)
        time.sleep(length_s)
        self.day.to_store("fault", name, "", 0)

    def _platform_down(self, trouble, choice):
        how = trouble.get("how", "")
        names = self._names(trouble, choice) if "nodes" in how or "busy" in how else ["all"]
        fault = "silent" if "silent" in how else "refuse"
        if "reset" in how:
            for name in names:
                self._link("reset", "*" if name == "all" else name, trouble["for_s"], parts=("store",))
        if "revoke" in how or "lapse" in how:
            self.day.to_store("deal_anew")
        self._together(names, lambda name: self._store_for(trouble["for_s"], name, fault))

    def _platform_lost(self, trouble, _choice):
        self._store_for(trouble["for_s"], "all", "late" if "late" in trouble.get("how", "") else "lose", trouble["x"])

    def _platform_slow(self, trouble, _choice):
        self._link("delay", "*", trouble["for_s"], parts=("store",), delayMs=int(4 * trouble["x"]), jitterMs=20)

    def _platform_compact(self, _trouble, _choice):
        self.day.to_store("deal_anew")

    def _config_change(self, _trouble, choice):
        self.day.configure(idle=choice.randrange(4))

    def _big_config(self, trouble, _choice):
        self.day.configure(idle=trouble["count"])

    def _config_storm(self, trouble, choice):
        end = time.monotonic() + trouble["for_s"]
        while time.monotonic() < end:
            self._config_change(trouble, choice)
            time.sleep(trouble["gap_s"])

    def _evacuate(self, trouble, _choice):
        self.day.to_store("write", "keyed.op", f"evacuate/{trouble['zone']}", b"{}")
        time.sleep(trouble["for_s"])
        self.day.to_store("write", "keyed.op", f"evacuate/{trouble['zone']}", b"")

    # --- workers ---

    def _worker_fault(self, trouble, choice, kind, value, names=None):
        for name in names or self._names(trouble, choice, "agent"):
            self.day.to_worker(name, "fault", kind, value)
        time.sleep(trouble["for_s"])
        for machine in self.day.site.machines:
            self.day.to_worker(machine.name, "fault", kind, None)

    def _applied_late(self, trouble, choice):
        self._worker_fault({**trouble, "share": 1}, choice, "unanswered", trouble["x"] * choice.choice((1, 5)))

    def _srv_grey(self, trouble, choice):
        if trouble["how"] == "hang":
            self._worker_fault(trouble, choice, "hang", 1)
        else:
            kind, value = choice.choice((("fail", 1), ("refuse", 0.4), ("refuse", 1.0)))
            self._worker_fault(trouble, choice, kind, value)

    def _srv_slow(self, trouble, choice):
        self._worker_fault(trouble, choice, "slow", trouble["x"])

    def _repeat_answers(self, trouble, choice):
        value = (choice.choice((0.02, 0.1, 0.3)), choice.choice((0.002, 0.05, 0.3)))
        self._worker_fault({"share": 0.4, **trouble}, choice, "repeat_answers", value)

    def _announce_elsewhere(self, trouble, choice):
        self._worker_fault({**trouble, "share": 1}, choice, "announce_elsewhere", True)

    def _srv_crash(self, trouble, choice):
        names = self._names(trouble, choice, "agent")
        for name in names:
            self.day.to_worker(name, "crash")
        time.sleep(trouble["for_s"] * choice.uniform(0.1, 1))
        for name in names:
            self.day.to_worker(name, "start", choice.random() < 0.3)

    def _worker_restart(self, _trouble, choice):
        for name in self._names({"share": 0.2}, choice, "agent"):
            self.day.to_worker(name, "crash")
            self.day.to_worker(name, "start", True)

    def _scale_in(self, trouble, choice):
        names = self._names(trouble, choice, "agent")
        for name in names:
            self.day.to_worker(name, "drain", self.day.site.drain_s)
        time.sleep(self.day.site.drain_s + 6)
        for name in names:
            self.day.to_worker(name, "start")

    # --- clients ---

    def _clients_for(self, trouble, **changes):
        self.day.to_clients(changes)
        time.sleep(trouble["for_s"])
        self.day.to_clients({"rate": 1.0, "leave": 0.0, "hopeless": 0.0, "class": None, "zone": None})

    def _burst(self, trouble, _choice):
        self._clients_for(trouble, **{"rate": trouble["x"], "class": trouble.get("class")})

    def _shift(self, trouble, choice):
        self._clients_for(trouble, zone=choice.choice(self.day.site.zones))

    def _give_up(self, trouble, _choice):
        self._clients_for(trouble, leave=trouble["share"])

    def _poison(self, trouble, _choice):
        self._clients_for(trouble, hopeless=trouble["share"])
