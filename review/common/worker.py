"""Stand-in for a worker, after "Running tasks" and "Service discovery" of PROTOCOL.md."""

import http.client
import json
import threading
import time

from lab.httpstandin import HttpStandin, NoAnswer

MAX_HOLD_MS = 1000
HEARTBEAT_S = 1.5
LISTED_ENDS = 500


class Worker:
    """`work_ms(task, run)` is how long a run takes, and `outcome(task, run)` how it ends ("done" or "failed").

    Writes "run_start", "run_end" and "end_noted" (with whether the lease lapsed in between) to the record.
    """

    def __init__(self, name, port, control_port, record, zone, cpu=16000, labels=("a",), work_ms=lambda task, run: 50,
                 outcome=lambda task, run: "done"):
        self.name = name
        self.zone = zone
        self.cpu = cpu
        self.labels = list(labels)
        self.is_up = True
        self._record = record
        self._work_ms = work_ms
        self._outcome = outcome
        self._control_port = control_port
        self._born = int(time.time() * 1000)
        self._start = time.monotonic()
        self._changed = threading.Condition()
        # By (task, run): when the work is done on the worker's clock.
        self._running = {}
        self._ended = []
        self._last_end = 0
        self._highest = {}
        self._fence = 0
        self._deadline = 0
        self._lapses = 0
        self._lapses_at_end = {}
        self._sequence = 0
        self._http = HttpStandin(port, self._handle)

    def begin(self):
        for body in (self._announce, self._work):
            threading.Thread(target=body, daemon=True).start()

    def vanish(self):
        """Crashes for good: runs nothing and answers nothing from now on."""
        with self._changed:
            self.is_up = False
            for task, run in self._running:
                self._record.add("run_gone", task=task, run=run, worker=self.name)
            self._running.clear()
            self._changed.notify_all()
        self._record.add("worker_lost", worker=self.name)

    def close(self):
        self.is_up = False
        self._http.close()

    def _clock(self):
        return int((time.monotonic() - self._start) * 1000) + 1000

    def _announce(self):
        while self.is_up:
            self._sequence += 1
            body = {"service": "kiosk", "address": "127.0.0.1:1", "zone": self.zone, "version": "v1", "slots": 8,
                    "state": "ready", "coldMs": 0, "capacity": {"cpu": self.cpu, "memMb": 32768, "gpu": 0},
                    "labels": self.labels, "clockMs": self._clock(), "seq": self._sequence, "born": self._born}
            connection = http.client.HTTPConnection("127.0.0.1", self._control_port, timeout=1)
            try:
                connection.request("POST", "/Instances.Heartbeat/" + self.name, json.dumps(body),
                                   {"Content-Type": "application/json"})
                acknowledged = connection.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                acknowledged = False
            finally:
                connection.close()
            time.sleep(HEARTBEAT_S if acknowledged else 0.2)

    # --- runs; the lock is held ---

    def _end(self, key, how):
        del self._running[key]
        task, run = key
        self._last_end += 1
        self._ended.append([self._last_end, task, run, how, ""])
        self._lapses_at_end[self._last_end] = self._lapses
        self._highest[task] = max(self._highest.get(task, 0), run)
        self._record.add("run_end", task=task, run=run, worker=self.name, how=how, end=self._last_end)
        self._changed.notify_all()

    def _work(self):
        holds = False
        while self.is_up:
            with self._changed:
                now = self._clock()
                if holds and now >= self._deadline:
                    self._lapses += 1
                holds = now < self._deadline
                for key, until in list(self._running.items()):
                    if not holds:
                        self._end(key, "lapsed")
                    elif now >= until:
                        self._end(key, self._outcome(*key))
            time.sleep(0.002)

    def _hold_until(self, deadline):
        self._deadline = max(self._deadline, min(deadline, self._clock() + MAX_HOLD_MS))

    # --- calls ---

    def _handle(self, _method, path, _query, headers, raw):
        if not self.is_up:
            raise NoAnswer
        body = json.loads(raw)
        if headers.get("Expect-Instance") not in (None, self.name):
            return 421, {}
        with self._changed:
            if body.get("fence", 0) < self._fence:
                return 409, {"clockMs": self._clock(), "reason": "fence"}
            self._fence = body.get("fence", 0)
            calls = {"/run-start": self._run_start, "/run-stop": self._run_stop, "/hold": self._hold}
            return calls[path](body) if path in calls else (404, {})

    def _answer(self, **fields):
        return {"clockMs": self._clock(), "born": self._born, **fields}

    def _run_start(self, body):
        task, run = body["task"], body["run"]
        if body["deadlineMs"] <= self._clock():
            return 409, self._answer(reason="late")
        self._hold_until(body["deadlineMs"])
        if (task, run) in self._running:
            return 200, self._answer()
        if run <= self._highest.get(task, 0):
            return 409, self._answer(reason="old")
        self._running[(task, run)] = self._clock() + self._work_ms(task, run)
        self._record.add("run_start", task=task, run=run, worker=self.name)
        return 200, self._answer()

    def _run_stop(self, body):
        task, run = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), run)
        for key in [key for key in self._running if key[0] == task and key[1] <= run]:
            self._end(key, "stopped")
        return 200, self._answer()

    def _note_ends(self, through):
        for number, task, run, how, _ in self._ended:
            if number <= through:
                self._record.add("end_noted", task=task, run=run, worker=self.name, how=how,
                                 lapsed_between=self._lapses_at_end[number] != self._lapses)
        self._ended = [end for end in self._ended if end[0] > through]

    def _hold(self, body):
        self._hold_until(body.get("deadlineMs", 0))
        self._note_ends(body.get("ackThrough", 0))
        last = self._last_end
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while self._last_end == last and not self._ended and self.is_up and time.monotonic() < until:
            self._changed.wait(until - time.monotonic())
        if not self.is_up:
            raise NoAnswer
        return 200, self._answer(running=[[task, run, "", 50, 0] for task, run in self._running],
                                 ended=self._ended[:LISTED_ENDS])
