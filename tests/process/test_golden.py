"""Golden files of whole sessions with real processes (tests/golden).

Each session writes what callers, operators and targets saw, and for each submission the events of every role in the
order that one process guarantees. Times, ports, fingerprints and the chosen target are normalised.
With --update in place of a test name the files are written again; read the difference before it is committed.
"""

import json
import sys
import threading
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools"))
BUILD = sys.argv.pop(1) if len(sys.argv) > 1 and not sys.argv[1].startswith("-") else "build"
UPDATE = "--update" in sys.argv
if UPDATE:
    sys.argv.remove("--update")
from lab.cluster import Cluster, http_call, wait_until  # noqa: E402
from lab.operators import Operators  # noqa: E402
from lab.recorder import Recorder  # noqa: E402

WORKERS = ("thamel-1", "patan-1")
# Queueing depends on the credits that an entry happens to hold, forwarding on which entry owns the key.
UNORDERED = {"task_queued", "submission_forwarded"}


class Session:
    """A cluster of two entries and two workers and the text of what was seen."""

    def __init__(self):
        self.cluster = Cluster(BUILD, entries=2)
        self.cluster.worker_specs = [s for s in self.cluster.worker_specs if s["name"] in WORKERS]
        self.operators = Operators(self.cluster, Recorder(self.cluster.directory / "lab.records"))
        self.lines = []

    def warm_up(self):
        """Until every entry has used every target: an agent refuses starts before its first word from an entry."""
        for entry in ("entry-1", "entry-2"):
            number = 0

            def used(entry=entry):
                nonlocal number
                number += 1
                prefix = f"warm-up/{entry}/{number}/"
                tasks = [{"runMs": 20, "echo": f"{prefix}{i}"} for i in range(40)]
                answer = self.cluster.job(entry, prefix, "check_deposit", tasks)[1]
                return answer["outcome"] == "complete" and all(self.starts(prefix).values())
            wait_until(used, 30, f"work of {entry} on every target")

    def note(self, text):
        self.lines.append(text)

    def note_answer(self, what, answer):
        status, body = answer
        text = json.dumps(body, sort_keys=True)
        for name in WORKERS:
            text = text.replace(f'"target": "{name}"', '"target": "TARGET"')
        self.note(f"{what} -> {status} {text}")

    def request(self, entry, key, call="unlock", echo=None, run_ms=5):
        echo = echo if echo is not None else key
        self.note_answer(f"request {key} {call} at {entry}",
                         self.cluster.request(entry, key, call, {"runMs": run_ms, "echo": echo}))

    def job(self, entry, key, tasks, call="check_deposit"):
        payloads = [{"runMs": 5, "echo": f"{key}/{i}"} for i in range(tasks)]
        self.note_answer(f"job {key} of {tasks} {call} at {entry}", self.cluster.job(entry, key, call, payloads))

    def starts(self, prefix):
        """Starts that the targets recorded for echoes with this prefix, by target."""
        result = dict.fromkeys(WORKERS, 0)
        for record in self.cluster.target_records():
            if record["what"] == "start" and str(record.get("echo", "")).startswith(prefix):
                result[record["target"]] += 1
        return result

    def wait_for_version(self, version):
        def in_force():
            for spec in self.cluster.entry_specs:
                if http_call(self.cluster.port(spec["name"]), "GET", "/v1/show")[1]["version"] < version:
                    return False
            return all(any(event["kind"] == "config_accepted" and event.get("configVersion", 0) >= version
                           for event in self.events(f"agent-{spec['name']}"))
                       for spec in self.cluster.worker_specs)
        wait_until(in_force, 30, f"version {version} on every process")

    def events(self, process):
        result = self.cluster.run("timeline", "--process", self.cluster.address(process), "--format", "json")
        return [json.loads(line) for line in result.stdout.splitlines()]

    def note_events(self, echo):
        """Events of the submission that started the task with this echo, in the order of each role's process."""
        task = next(r["task"] for r in self.cluster.target_records() if r["what"] == "start" and r["echo"] == echo)
        job = task.split("-")[0]
        for role, names in (("entry", [s["name"] for s in self.cluster.entry_specs]),
                            ("agent", [f"agent-{s['name']}" for s in self.cluster.worker_specs])):
            for name in names:
                kinds = [e["kind"] for e in self.events(name) if e.get("job") == job and e["kind"] not in UNORDERED]
                if kinds:
                    self.note(f"  {role}: {' '.join(kinds)}")


def normal_work(session):
    session.request("entry-1", "unlock-1")
    session.note_events("unlock-1")
    session.request("entry-2", "deposit-1", "check_deposit")
    session.job("entry-1", "job-1", 5)
    session.note(f"starts of the job: {sum(session.starts('job-1/').values())}")
    session.request("entry-1", "none-1", "no_such_call")
    session.note_answer("job without tasks", session.cluster.job("entry-1", "empty", "unlock", []))


def resubmission(session):
    session.request("entry-1", "unlock-1")
    session.request("entry-2", "unlock-1")
    session.request("entry-2", "unlock-1", echo="another body")
    session.job("entry-1", "job-1", 3)
    session.job("entry-2", "job-1", 3)
    for prefix in ("unlock-1", "another body", "job-1/"):
        session.note(f"starts of {prefix}: {sum(session.starts(prefix).values())}")


def zone_withdrawal(session):
    session.operators.set_zone("thamel", "withdrawn")
    session.wait_for_version(2)
    session.job("entry-1", "withdrawn", 20)
    session.note(f"starts while thamel is withdrawn: {session.starts('withdrawn/')}")
    session.operators.set_zone("thamel", "in_service")
    session.wait_for_version(3)
    round_number = 0

    def thamel_serves():
        nonlocal round_number
        round_number += 1
        tasks = [{"runMs": 5, "echo": f"back/{round_number}/{i}"} for i in range(40)]
        session.cluster.job("entry-1", f"back-{round_number}", "check_deposit", tasks)
        return session.starts("back/")["thamel-1"] > 0
    wait_until(thamel_serves, 30, "starts in thamel after its return")
    session.note("thamel serves again after its return")


def operator_conflict(session):
    records = http_call(session.cluster.port("log"), "GET", "/v1/streams/config/records?from=0&max=10")[1]["records"]
    first = next(json.loads(record["data"]) for record in records if json.loads(record["data"])["type"] == "change")
    session.operators.weight = 5
    session.note(f"first operator: version {session.operators.apply('first')}")
    session.wait_for_version(2)
    # The second operator read the same version as the first and appends after it.
    late = {**first, "id": "late-change", "author": "second", "base": 1}
    http_call(session.cluster.port("log"), "POST", "/v1/streams/config/records", late)
    session.operators.weight = 6
    session.note(f"third operator: version {session.operators.apply('third')}")
    session.wait_for_version(3)
    for entry in ("entry-1", "entry-2"):
        shown = http_call(session.cluster.port(entry), "GET", "/v1/show")[1]
        session.note(f"{entry}: version {shown['version']}")
        events = [e for e in session.events(entry) if e["kind"] in ("config_accepted", "config_refused")]
        # The bounded event buffer may have lost the events of the start.
        session.note("  " + ", ".join(f"{e['kind']} {e.get('reason', '')}" for e in events
                                      if e.get("configVersion") != 1))


def log_outage(session):
    session.cluster.control_log(failing=True)
    session.request("entry-1", "unlock-1")
    session.request("entry-2", "unlock-1")
    session.job("entry-2", "job-1", 5)
    result = session.cluster.apply()
    session.note(f"apply during the outage: exit code {result.returncode}: {result.stderr.strip()}")
    session.cluster.control_log(failing=False)
    session.operators.weight = 3
    session.note(f"apply after the outage: version {session.operators.apply('operator')}")
    session.wait_for_version(2)
    session.note(f"starts of unlock-1: {sum(session.starts('unlock-1').values())}")


def graceful_stop(session):
    def long_request():
        session.request("entry-1", "long", run_ms=1_000)
    caller = threading.Thread(target=long_request)
    caller.start()
    wait_until(lambda: sum(session.starts("long").values()) == 1, 20, "the start of the long request")
    code = session.cluster.processes["entry-1"].stop()
    caller.join()
    session.note(f"entry-1 ended with exit code {code}")
    session.request("entry-2", "long", run_ms=1_000)
    session.note(f"starts of the long request: {sum(session.starts('long').values())}")
    code = session.cluster.processes["target-thamel-1"].stop()
    session.note(f"target-thamel-1 ended with exit code {code}")
    code = session.cluster.processes["agent-thamel-1"].stop()
    session.note(f"agent-thamel-1 ended with exit code {code}")
    session.job("entry-2", "after", 5)
    session.note(f"starts after the stops: {session.starts('after/')}")


class Golden(unittest.TestCase):
    maxDiff = None

    def compare(self, scenario):
        session = Session()
        with session.cluster:
            session.cluster.start()
            session.warm_up()
            scenario(session)
        session.operators.recorder.close()
        text = "\n".join(session.lines) + "\n"
        path = ROOT / "tests" / "golden" / f"{scenario.__name__}.txt"
        if UPDATE:
            path.write_text(text)
        self.assertEqual(path.read_text(), text)

    def test_normal_work(self):
        self.compare(normal_work)

    def test_resubmission(self):
        self.compare(resubmission)

    def test_zone_withdrawal(self):
        self.compare(zone_withdrawal)

    def test_operator_conflict(self):
        self.compare(operator_conflict)

    def test_log_outage(self):
        self.compare(log_outage)

    def test_graceful_stop(self):
        self.compare(graceful_stop)


if __name__ == "__main__":
    unittest.main()
