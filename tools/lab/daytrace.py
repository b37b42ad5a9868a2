"""What an agent did around a pair of runs at once, from its log and the records of its worker."""

BEFORE_MS, AFTER_MS = 1000, 4000
AGENT_EVENTS = ("worker_", "announcement_", "run_lost", "runs_not_listed", "run_of_former_life", "lease_given_up", "started",
                "stopping", "stopped", "agent_dr", "registered")
WORKER_EVENTS = ("worker_up", "worker_down", "other_writer", "late_heartbeat", "announced_elsewhere", "unreachable", "reachable",
                 "ready_again", "lease_over", "unread", "stalled")
# What tells one line of an agent from the next besides its event.
FIELDS = ("worker", "born", "known_worker", "cause", "answer", "variant", "accepted", "former", "how", "for_s", "runs", "role")


def is_of_interest(row):
    event = row.get("event", "")
    return event.startswith(AGENT_EVENTS) or row.get("what") in WORKER_EVENTS


def lines_around(rows, wall):
    """Texts of the rows of interest near a time, oldest first; equal neighbours are one line with their number."""
    near = [row for row in rows if is_of_interest(row) and wall - BEFORE_MS <= row["wall"] <= wall + AFTER_MS]
    lines = []
    for row in sorted(near, key=lambda each: each["wall"]):
        text = " ".join([row.get("event") or "worker: " + row["what"], *(f"{key}={row[key]}" for key in FIELDS if key in row)])
        if lines and lines[-1][1] == text:
            lines[-1][2] += 1
        else:
            lines.append([row["wall"] - wall, text, 1])
    return [f"{at:+6d} ms {text}" + (f" ({times} times)" if times > 1 else "") for at, text, times in lines]
