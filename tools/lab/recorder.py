"""Records of callers and operators, written by the lab itself for the independent checker."""

import http.client
import json
import threading
import time
from pathlib import Path


def now_ms():
    return int(time.time() * 1000)


class Recorder:
    def __init__(self, path):
        self.path = Path(path)
        self._file = open(path, "a", encoding="utf-8")
        self._lock = threading.Lock()

    def write(self, record, **fields):
        line = json.dumps({"record": record, **fields})
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()

    def close(self):
        with self._lock:
            self._file.close()


class Submission:
    """One key with its body; it may be submitted several times."""

    def __init__(self, service, key, call, echoes, run_ms, job, deadline_ms=4_000):
        self.service = service
        self.key = key
        self.call = call
        self.echoes = echoes
        self.run_ms = run_ms
        self.job = job
        self.deadline_ms = deadline_ms

    def with_other_body(self):
        return Submission(self.service, self.key, self.call, [f"{echo}-other" for echo in self.echoes], self.run_ms,
                          self.job, self.deadline_ms)

    def http(self):
        payloads = [{"runMs": run, "echo": echo} for run, echo in zip(self.run_ms, self.echoes)]
        if self.job:
            return "/v1/jobs", {"key": self.key, "service": self.service, "call": self.call, "tasks": payloads,
                                "deadlineMs": self.deadline_ms}, {}
        return (f"/v1/services/{self.service}/requests",
                {"call": self.call, "payload": payloads[0], "deadlineMs": self.deadline_ms},
                {"Idempotency-Key": self.key})


def echoes_of(body, job):
    """Echoes in the answers of a response body, or None if it has no answers."""
    answers = body.get("answers") if job else [body["answer"]] if "answer" in body else None
    if answers is None:
        return None
    return [answer.get("echo") if isinstance(answer, dict) else answer for answer in answers]


def submit(recorder, submission, entry, port, timeout=12):
    """Submits once, records what the caller saw, and returns that record."""
    path, body, headers = submission.http()
    seen = {"key": submission.key, "call": submission.call, "job": submission.job, "echoes": submission.echoes,
            "entry": entry, "sentMs": now_ms(), "status": None, "outcome": None, "reason": None, "answerKey": None,
            "answers": None, "whole": False, "connected": False}
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.connect()
        seen["connected"] = True
        connection.request("POST", path, json.dumps(body), headers)
        response = connection.getresponse()
        answer = json.loads(response.read())
        seen.update(status=response.status, outcome=answer.get("outcome"), reason=answer.get("reason"),
                    answerKey=answer.get("key"), answers=echoes_of(answer, submission.job), whole=True)
    except (OSError, http.client.HTTPException, ValueError) as error:
        seen["error"] = f"{type(error).__name__}: {error}"
    finally:
        connection.close()
    seen["doneMs"] = now_ms()
    recorder.write("call", **seen)
    return seen
