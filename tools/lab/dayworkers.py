"""Stand-in workers of a day: several in one process, on kept HTTP/1.1 connections, with the faults of real back ends."""

import asyncio
import json
import random
import time

# An order that is carried out late waits up to this long.
LATEST_ORDER_S = 4.0
LISTED_ENDS = 500
# A worker process that was late by this much is not taken for one that kept its leases.
STALL_S = 0.3
STATUS = {200: "OK", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request", 503: "Service Unavailable"}


def encode(status, body):
    data = json.dumps(body).encode()
    return b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
        status, STATUS[status].encode(), len(data), data)


class Worker:
    """One worker with its lives. `faults` holds the active troubles: kind to parameters.

    slow: factor; hang; fail; refuse: share of calls; unanswered: share of orders; repeat_answers: share and most seconds;
    announce_elsewhere: an announcement that its agent does not acknowledge goes to the next agent.
    `others` holds the control addresses of the other agents, the next one first.
    """

    def __init__(self, machine, service, ports, others, beat_s, lease_s, stop_s, record, seed):
        self.machine, self.service, self.ports, self.beat_s = machine, service, ports, beat_s
        self.others = others
        self.lease_s, self.stop_s, self.record = lease_s, stop_s, record
        self.choice = random.Random(f"{seed}/{machine.name}")
        self.faults = {}
        self._server = None
        self._writers = set()
        self._lives = 0
        self.up, self.name = False, None

    # --- lives ---

    async def start(self, same_id=False):
        if self.up:
            return
        if not (same_id and self._lives):
            self.name = f"i-{self.choice.randrange(1 << 32):08x}"
        self._lives += 1
        self.up, self.state = True, "ready"
        self.born, self._begin = int(time.time() * 1000), time.monotonic()
        # The clock of a worker may be 2 % slow.
        self._pace = self.choice.uniform(0.98, 1.0)
        self._base = self.choice.randrange(500_000)
        self._running, self._ended, self._highest, self._attached = {}, [], {}, 0
        self._deadline = self._last_end = self._sequence = self._fence = 0
        self._changed = asyncio.Condition()
        self._lapse_check = None
        self.record(what="worker_up", worker=self.name, agent=self.machine.name, cpu=self.machine.cpu)
        self._server = await asyncio.start_server(self._serve, self.machine.ip, self.ports["app"], reuse_address=True)
        asyncio.ensure_future(self._announce_regularly(self._lives))

    def crash(self):
        if not self.up:
            return
        self.up = False
        for task in list(self._running):
            self._cancel(task)
            self.record(what="crashed", task=task, run=self._running.pop(task)["run"], worker=self.name)
        self.record(what="worker_down", worker=self.name, agent=self.machine.name)
        self._server.close()
        self.reset_connections()

    def reset_connections(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def mute_connections(self):
        """The open connections answer nothing any more; new ones work."""
        for writer in self._writers:
            writer.muted = True

    async def drain(self, drain_s):
        self.state = "draining"
        await self._announce("Heartbeat")
        await asyncio.sleep(drain_s + self.choice.uniform(0.2, 4))
        await self._announce("Deregister")
        self.crash()

    def clock(self, at=None):
        return self._base + int(((at or time.monotonic()) - self._begin) * 1000 * self._pace)

    async def _announce_regularly(self, life):
        while self.up and self._lives == life:
            await self._announce("Heartbeat")
            await asyncio.sleep(self.beat_s * self.choice.uniform(0.7, 1.0))

    async def _announce(self, call):
        self._sequence += 1
        body = json.dumps({"service": self.service, "address": f"{self.machine.ip}:{self.ports['app']}",
                           "zone": self.machine.zone, "version": "v1", "slots": 8, "state": self.state, "coldMs": 0,
                           "capacity": {"cpu": self.machine.cpu, "memMb": 32768, "gpu": 0},
                           "labels": self.machine.labels, "clockMs": self.clock(), "seq": self._sequence,
                           "born": self.born}).encode()
        head = (f"POST /Instances.{call}/{self.name} HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode()
        if await self._deliver(head + body, self.machine.ip, self.ports["control"]) or "announce_elsewhere" not in self.faults:
            return
        for ip, port in self.others:
            if await self._deliver(head + body, ip, port):
                self.record(what="announced_elsewhere", worker=self.name, agent=self.machine.name, to=ip)
                return

    @staticmethod
    async def _deliver(message, ip, port):
        """True if the agent acknowledges the message within a second."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
            writer.write(message)
            answer = await asyncio.wait_for(reader.read(4096), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return answer.startswith(b"HTTP/1.1 2")

    # --- runs ---

    def _begin_run(self, body):
        spec = json.loads(body["spec"])
        work_s = spec["work"] / 1000 * self.choice.uniform(0.85, 1.15) * self.faults.get("slow", 1)
        how = "failed" if "fail" in self.faults or self.choice.random() < spec["fail"] else "done"
        if how == "failed":
            work_s = min(work_s, self.choice.uniform(0.005, 0.1))
        run = {"run": body["run"], "timer": None}
        if "hang" not in self.faults:
            run["timer"] = asyncio.get_running_loop().call_later(work_s, self._end, body["task"], body["run"], how)
        self._running[body["task"]] = run

    def _cancel(self, task):
        if self._running[task]["timer"]:
            self._running[task]["timer"].cancel()

    def _end(self, task, number, how):
        if not self.up or task not in self._running or self._running[task]["run"] != number:
            return
        self._cancel(task)
        del self._running[task]
        self._last_end += 1
        self._ended.append([self._last_end, task, number, how, ""])
        self._highest[task] = max(self._highest.get(task, 0), number)
        self.record(what=how, task=task, run=number, worker=self.name, end=self._last_end)
        asyncio.ensure_future(self._notify())

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    def _lengthen(self, body):
        wanted = min(body.get("deadlineMs", 0), self.clock() + self.lease_s * 1000)
        if wanted > self._deadline:
            self._deadline = wanted
            if self._lapse_check is None:
                self._check_lapse_later(self._lives)

    def _check_lapse_later(self, life):
        wait_s = max(0.001, (self._deadline - self.clock()) / 1000 / self._pace)
        self._lapse_check = asyncio.get_running_loop().call_later(wait_s, self._check_lapse, life)

    def _check_lapse(self, life):
        if life != self._lives or not self.up:
            return
        if self.clock() < self._deadline:
            self._check_lapse_later(life)
            return
        self._lapse_check = None
        self.record(what="lease_over", worker=self.name)
        for task, run in list(self._running.items()):
            self._end(task, run["run"], "lapsed")

    # --- calls ---

    async def _serve(self, reader, writer):
        writer.muted = False
        self._writers.add(writer)
        life = self._lives
        try:
            while True:
                path, headers, body = await self._read(reader)
                if writer.muted or life != self._lives or not self.up:
                    await asyncio.sleep(60)
                    return
                answer = await self._answer(path, headers, body)
                if answer is None or writer.muted:
                    await asyncio.sleep(60)
                    return
                data = encode(*answer)
                writer.write(data)
                self._repeat_answer(writer, data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    @staticmethod
    async def _read(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict((line.split(":", 1)[0].lower(), line.split(":", 1)[1].strip()) for line in head[1:] if ":" in line)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return head[0].split()[1], headers, json.loads(body or b"{}")

    def _repeat_answer(self, writer, data):
        """Sends an answer a second time on the same connection, at once or late."""
        share, longest_s = self.faults.get("repeat_answers", (0, 0))
        if self.choice.random() < share:
            delay = self.choice.choice((0, self.choice.uniform(0, longest_s)))
            self.record(what="answer_repeated", worker=self.name, after_ms=round(delay * 1000, 1))
            asyncio.get_running_loop().call_later(delay, lambda: writer.is_closing() or writer.write(data))

    async def _answer(self, path, headers, body):
        """(status, body), or None to leave the call without an answer."""
        if self.choice.random() < self.faults.get("refuse", 0):
            return 503, {}
        if path != "/hold" and self.choice.random() < self.faults.get("unanswered", 0):
            delay = self.choice.choice((0, self.choice.uniform(0.05, LATEST_ORDER_S)))
            asyncio.get_running_loop().call_later(delay, self._carry_out_late, path, headers, body, self._lives)
            return None
        if path == "/hold":
            return await self._hold(headers, body)
        answer = self._perform(path, headers, body)
        if path == "/run-stop":
            await asyncio.sleep(self.choice.uniform(0, self.stop_s / 5))
        return answer

    def _carry_out_late(self, path, headers, body, life):
        if self.up and life == self._lives:
            self.record(what="order_carried_out_late", worker=self.name, task=body.get("task"), run=body.get("run"), path=path)
            self._perform(path, headers, body)

    def _reject(self, status, reason=None):
        return status, {"clockMs": self.clock(), **({"reason": reason} if reason else {})}

    def _fenced(self, headers, body):
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        if body.get("fence", 0) < self._fence:
            return self._reject(409, "fence")
        self._fence = body.get("fence", 0)
        return None

    def _perform(self, path, headers, body):
        rejection = self._fenced(headers, body)
        if rejection:
            answer = rejection
        else:
            answer = self._run_start(body) if path == "/run-start" else self._run_stop(body)
        self.record(what=path[5:] + "_order", task=body.get("task"), run=body.get("run"), worker=self.name,
                    agent=self.machine.name, status=answer[0], reason=answer[1].get("reason"))
        return answer

    def _run_start(self, body):
        task, number = body["task"], body["run"]
        if body["deadlineMs"] <= self.clock():
            return self._reject(409, "late")
        self._lengthen(body)
        if task in self._running and self._running[task]["run"] == number:
            return self._reject(200)
        if number <= self._highest.get(task, 0) or task in self._running:
            return self._reject(409, "old")
        self._begin_run(body)
        self.record(what="start", task=task, run=number, worker=self.name, agent=self.machine.name,
                    cpu=json.loads(body["spec"])["cpu"])
        return self._reject(200)

    def _run_stop(self, body):
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        if task in self._running and self._running[task]["run"] <= number:
            delay = self.choice.uniform(0, self.stop_s)
            asyncio.get_running_loop().call_later(delay, self._end, task, self._running[task]["run"], "stopped")
        return self._reject(200)

    async def _hold(self, headers, body):
        rejection = self._fenced(headers, body)
        if rejection:
            return rejection
        self._lengthen(body)
        self._ended = [end for end in self._ended if end[0] > body.get("ackThrough", 0)]
        if not self._ended and body.get("waitMs", 0):
            try:
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), min(body["waitMs"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"clockMs": self.clock(), "born": self.born, "ended": self._ended[:LISTED_ENDS],
                     "running": [[task, run["run"], "", 50, 0] for task, run in self._running.items()]}


class Recorder:
    """Events of one process, a JSON object a line, with the monotonic clock that all processes share."""

    def __init__(self, path):
        self._path, self._rows = path, []

    def __call__(self, **fields):
        self._rows.append({"at": round(time.monotonic(), 4), "wall": int(time.time() * 1000), **fields})

    def close(self):
        """Writes the file only now: a write that waits for the disk would stop the workers beyond their lease."""
        with open(self._path, "w", encoding="utf-8") as file:
            file.writelines(json.dumps(row) + "\n" for row in self._rows)


async def record_stalls(record, workers):
    """Records when the process itself did not run, so that its workers could not keep their leases."""
    while True:
        begin = time.monotonic()
        await asyncio.sleep(0.02)
        late_s = time.monotonic() - begin - 0.02
        if late_s > STALL_S:
            for worker in workers:
                record(what="stalled", worker=worker.name, for_s=round(late_s, 3))


async def take_commands(pipe, handle):
    """Calls handle(command) for each command of the pipe until it is None or the other end is gone."""
    loop, ended = asyncio.get_running_loop(), asyncio.Event()

    def read():
        try:
            while pipe.poll():
                command = pipe.recv()
                if command is None:
                    ended.set()
                    return
                handle(command)
        except EOFError:
            ended.set()

    loop.add_reader(pipe.fileno(), read)
    await ended.wait()
    loop.remove_reader(pipe.fileno())


def run_workers(pipe, machines, options, path):
    """Main function of a process with some of the workers. `options` are the arguments of Worker but for the first."""
    async def main():
        record = Recorder(path)
        workers = {machine.name: Worker(machine, **options[machine.name], record=record) for machine in machines}
        for worker in workers.values():
            if not worker.machine.spare:
                await worker.start()

        def handle(command):
            name, method, arguments = command
            worker = workers.get(name)
            if worker and method == "fault":
                kind, value = arguments
                worker.faults.pop(kind, None) if value is None else worker.faults.update({kind: value})
            elif worker:
                result = getattr(worker, method)(*arguments)
                if asyncio.iscoroutine(result):
                    asyncio.ensure_future(result)

        stalls = asyncio.ensure_future(record_stalls(record, list(workers.values())))
        await take_commands(pipe, handle)
        stalls.cancel()
        record.close()
    asyncio.run(main())
