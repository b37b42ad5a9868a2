"""Load of concurrent callers that resubmit, for fault runs and drills."""

import random
import threading
import time

from lab.recorder import Submission, now_ms, submit

# Calls of each example: repeatable ones first.
CALLS = {"kiosk": ("check_deposit", "confirm_return", "unlock", "charge_deposit"),
         "cairn": ("lookup", "condition_report", "route_permit")}


class Load:
    """Closed loop: each caller waits for its answer, resubmits when it has none, and goes on with the next key."""

    def __init__(self, cluster, recorder, seed, callers=8, pause_s=0.03, port_of=None):
        self.cluster = cluster
        self.recorder = recorder
        self.seed = seed
        self.pause_s = pause_s
        self.port_of = port_of or cluster.caller_port
        self.service = cluster.deployment["service"]
        self.entries = [spec["name"] for spec in cluster.entry_specs]
        # Submissions that had an answer; list operations used here are atomic.
        self._answered = []
        self._ending = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(i,), daemon=True) for i in range(callers)]

    def start(self):
        for thread in self._threads:
            thread.start()

    def end(self, timeout=60):
        self._ending.set()
        end = time.monotonic() + timeout
        for thread in self._threads:
            thread.join(max(0.1, end - time.monotonic()))
        if any(thread.is_alive() for thread in self._threads):
            raise TimeoutError("a caller did not end")

    def _send(self, submission, entry):
        return submit(self.recorder, submission, entry, self.port_of(entry))

    def _run(self, caller):
        choice = random.Random(f"{self.seed}/{caller}")
        number = 0
        while not self._ending.is_set():
            self._one(choice, self._submission(choice, f"s{self.seed}-c{caller}-{number}"))
            number += 1
            time.sleep(self.pause_s * choice.random())

    def _submission(self, choice, name):
        job = choice.random() < 0.2
        calls = CALLS[self.service]
        call = calls[0] if choice.random() < 0.3 else choice.choice(calls[1:])
        tasks = choice.randrange(5, 25) if job else 1
        # A part of the keys carries its creation time (docs/design.md, section 5.4).
        key = f"{now_ms()}-{name}" if choice.random() < 0.3 else name
        return Submission(self.service, key, call, [f"{name}/{i}" for i in range(tasks)],
                          [choice.choice((5, 20, 50, 150)) for _ in range(tasks)], job)

    def _one(self, choice, submission):
        entry = choice.choice(self.entries)
        others = [name for name in self.entries if name != entry] or [entry]
        twin = None
        if choice.random() < 0.1:  # resubmission while the first is running
            twin = threading.Thread(target=self._later, args=(submission, choice.choice(others), choice.random() * 0.1))
            twin.start()
        seen = self._send(submission, entry)
        for _ in range(2):
            if seen["outcome"] in ("complete", "failed") or self._ending.is_set():
                break
            time.sleep(0.05)
            seen = self._send(submission, choice.choice(others))
        if twin:
            twin.join()
        if seen["whole"]:
            self._answered.append(submission)
        # Resubmission long after the answer, so that stops, deaths and takeovers lie between.
        if self._answered and choice.random() < 0.25:
            self._send(choice.choice(self._answered), choice.choice(self.entries))
        if seen["outcome"] == "complete" and choice.random() < 0.05:
            self._send(submission.with_other_body(), choice.choice(self.entries))

    def _later(self, submission, entry, delay_s):
        time.sleep(delay_s)
        self._send(submission, entry)
