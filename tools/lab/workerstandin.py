"""Stand-in for a worker: runs tasks under a lease, lists runs and ends, announces itself to its agent."""

import http.client
import json
import random
import threading
import time

from lab.httpstandin import HttpStandin, NoAnswer, Repeated

# A worker returns the ends with the lowest numbers that were not confirmed, at most this many at a time.
MOST_LISTED_ENDS = 500


class WorkerStandin:
    """Writes (time, "start" or how it ended, task, run, worker) to `history`, which several workers may share."""

    LEASE_S = 1.0
    # Part of the calls that a fault applies to.
    FAULT_SHARE = 0.2
    LATEST_REPEAT_S = 0.03

    def __init__(self, name, port, control_port, history, cpu=4000, task_ms=lambda task: 50):
        self.name = name
        self.cpu = cpu
        self.task_ms = task_ms
        self.state = "ready"
        self.history = history
        # Decides for each call between "", "lose" (done, without an answer), "late" (done seconds later) and "repeat"
        # (answered a second time, up to 30 ms later).
        self.fault = lambda path: ""
        self.born = int(time.time() * 1000)
        self._control_port = control_port
        self._start = time.monotonic()
        self._changed = threading.Condition()
        self._running = {}
        self._ended = []
        self._highest = {}
        self._deadline = 0
        self._last_end = 0
        # Counts how often the lease has lapsed, and by end the count at that time.
        self._lapses = 0
        self._lapses_at_end = {}
        self._holds_lease = False
        self._sequence = 0
        self._fence = 0
        self._stopping = False
        self._http = HttpStandin(port, self._handle)
        for body in (self._announce_regularly, self._watch):
            threading.Thread(target=body, daemon=True).start()

    def close(self):
        self._stopping = True
        self._http.close()

    def _clock(self):
        return int((time.monotonic() - self._start) * 1000) + 1000

    def _announce_regularly(self):
        while not self._stopping:
            self.announce()
            time.sleep(0.3)

    def announce(self):
        self._sequence += 1
        body = {"service": "kiosk", "address": "127.0.0.1:1", "zone": "patan", "version": "v1", "slots": 8,
                "state": self.state, "coldMs": 0, "capacity": {"cpu": self.cpu, "memMb": 8192, "gpu": 0},
                "labels": [], "clockMs": self._clock(), "seq": self._sequence, "born": self.born}
        try:
            connection = http.client.HTTPConnection("127.0.0.1", self._control_port, timeout=1)
            connection.request("POST", "/Instances.Heartbeat/" + self.name, json.dumps(body))
            connection.getresponse().read()
            connection.close()
        except OSError:
            pass

    def _end(self, task, how):
        run, _ = self._running.pop(task)
        self._last_end += 1
        self._ended.append([self._last_end, task, run, how, ""])
        self._lapses_at_end[self._last_end] = self._lapses
        self._highest[task] = max(self._highest.get(task, 0), run)
        self.history.append((time.monotonic(), how, task, run, self.name))
        self._changed.notify_all()

    def _watch(self):
        while not self._stopping:
            with self._changed:
                now = self._clock()
                if self._holds_lease and now >= self._deadline:
                    self._lapses += 1
                self._holds_lease = now < self._deadline
                for task, (_, until) in list(self._running.items()):
                    if now >= self._deadline:
                        self._end(task, "lapsed")
                    elif now >= until:
                        self._end(task, "done")
            time.sleep(0.003)

    def _lengthen(self, body):
        wanted = min(body.get("deadlineMs", 0), self._clock() + int(self.LEASE_S * 1000))
        self._deadline = max(self._deadline, wanted)

    def _handle(self, _method, path, _query, headers, raw):
        fault = self.fault(path) if random.random() < self.FAULT_SHARE else ""
        if fault == "late":
            threading.Timer(random.uniform(2, 4), self._perform, (path, headers, raw)).start()
            self._hang()
        answer = self._perform(path, headers, raw)
        if fault == "lose":
            self._hang()
        if fault == "repeat":
            status, body = answer
            return status, Repeated(body, random.uniform(0, self.LATEST_REPEAT_S))
        return answer

    def _hang(self):
        """Keeps the caller waiting without an answer until it gives up."""
        time.sleep(2)
        raise NoAnswer

    def _perform(self, path, headers, raw):
        body = json.loads(raw)
        expected = headers.get("Expect-Instance")
        with self._changed:
            if expected and expected != self.name:
                return 421, {}
            if body.get("fence", 0) < self._fence:
                return 409, {"clockMs": self._clock(), "reason": "fence"}
            self._fence = body.get("fence", 0)
            if path == "/run-start":
                return self._run_start(body)
            if path == "/run-stop":
                return self._run_stop(body)
            if path == "/hold":
                return self._hold(body)
        return 404, {}

    def _run_start(self, body):
        task, run = body["task"], body["run"]
        if body["deadlineMs"] <= self._clock():
            return 409, {"clockMs": self._clock(), "reason": "late"}
        self._lengthen(body)
        if task in self._running and self._running[task][0] == run:
            return 200, {"clockMs": self._clock()}
        if run <= self._highest.get(task, 0):
            return 409, {"clockMs": self._clock(), "reason": "old"}
        self._running[task] = (run, self._clock() + self.task_ms(task))
        self.history.append((time.monotonic(), "start", task, run, self.name))
        return 200, {"clockMs": self._clock()}

    def _run_stop(self, body):
        task, run = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), run)
        if task in self._running and self._running[task][0] <= run:
            self._end(task, "stopped")
        return 200, {"clockMs": self._clock()}

    def _confirm_ends(self, through):
        """Writes "confirmed" for each end that is confirmed under the lease under which the run ended."""
        for number, task, run, how, _ in self._ended:
            if number <= through and how == "done" and self._lapses_at_end[number] == self._lapses:
                self.history.append((time.monotonic(), "confirmed", task, run, self.name))
        self._ended = [end for end in self._ended if end[0] > through]

    def _hold(self, body):
        self._lengthen(body)
        self._confirm_ends(body.get("ackThrough", 0))
        last = self._last_end
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        while self._last_end == last and not self._ended and time.monotonic() < until:
            self._changed.wait(until - time.monotonic())
        return 200, {"clockMs": self._clock(), "born": self.born, "ended": self._ended[:MOST_LISTED_ENDS],
                     "running": [[task, run, "", 50] for task, (run, _) in self._running.items()]}
