"""Seeded plans: which faults, when, on which processes and links, and what the operators do meanwhile."""

import random

PROCESS_FAULTS = ("kill", "pause", "stop")
LINK_FAULTS = ("delay", "drop", "reset", "half_open", "truncate", "lose_answer")
LOG_FAULTS = ("log_outage", "log_slow", "lost_appends")


def link_subject(choice, entries, workers):
    """A link and the process that dials on it (empty: all)."""
    entry = choice.choice(entries)
    kind = choice.choice(("agent", "agents", "peer", "caller", "target", "log"))
    if kind == "agent":
        return f"link/{entry}", f"agent-{choice.choice(workers)}"
    if kind == "agents":
        return f"link/{entry}", "agent-*"
    if kind == "peer":
        return f"link/{entry}", "entry-*"
    if kind == "target":
        return f"target/{choice.choice(workers)}", ""
    return f"{kind}/{entry}", ""


def make_fault(choice, entries, workers):
    family = choice.choices(("process", "link", "log"), weights=(4, 5, 2))[0]
    start = round(choice.uniform(0.5, 3.0), 2)
    length = round(choice.uniform(0.3, 4.5), 2)
    if family == "process":
        role = choice.choice(("entry", "agent", "target"))
        name = choice.choice(entries) if role == "entry" else f"{role}-{choice.choice(workers)}"
        return {"kind": choice.choice(PROCESS_FAULTS), "process": name, "atS": start, "forS": length}
    if family == "log":
        return {"kind": choice.choice(LOG_FAULTS), "atS": start, "forS": length, "count": choice.randrange(1, 4)}
    link, peer = link_subject(choice, entries, workers)
    kind = choice.choice(LINK_FAULTS)
    fault = {"kind": kind, "link": link, "peer": peer, "atS": start, "forS": length}
    if kind in ("delay", "drop"):
        fault["direction"] = choice.choice(("up", "down", "both"))
    if kind == "delay":
        fault.update(delayMs=choice.choice((20, 200, 1_000)), jitterMs=choice.choice((0, 50)))
    if kind in ("truncate", "lose_answer"):
        fault["count"] = choice.randrange(1, 6)
    return fault


def make_plan(seed, entries, workers, zones):
    choice = random.Random(f"plan/{seed}")
    faults = [make_fault(choice, entries, workers) for _ in range(choice.choice((1, 2, 2)))]
    operations = []
    if choice.random() < 0.5:
        zone = choice.choice(zones)
        begin = round(choice.uniform(0.5, 2.5), 2)
        operations.append({"operation": "withdraw", "zone": zone, "atS": begin})
        operations.append({"operation": "return", "zone": zone, "atS": round(begin + choice.uniform(4.5, 6.0), 2)})
    if choice.random() < 0.4:
        operations.append({"operation": "race", "atS": round(choice.uniform(0.5, 4.0), 2)})
    return {"seed": seed, "faults": faults, "operations": operations}
