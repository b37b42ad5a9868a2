"""Stand-in workers of a day: several in one process, on kept HTTP/1.1 connections, with the faults of real back ends."""

import asyncio
import dataclasses
import json
import random
import time

from lab.dayheartbeats import foreign_heartbeat, message, odd_heartbeat

# An order that is carried out late waits up to this long.
LATEST_ORDER_S = 4.0
LISTED_ENDS = 500
# A worker process that was late by this much is not taken for one that kept its leases.
STALL_S = 0.3
# Lists that nobody asked for during this time are recorded: the leases of all runs have lapsed.
UNREAD_S = 1.0
# A late heartbeat is sent until the agent, which may restart just then, has accepted it.
LATE_HEARTBEAT_TRIES, LATE_HEARTBEAT_GAP_S = 200, 0.01
STATUS = {200: "OK", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request", 503: "Service Unavailable"}


def encode(status, body):
    data = json.dumps(body).encode()
    return b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
        status, STATUS[status].encode(), len(data), data)


class Worker:
    """One worker with its lives. `faults` holds the active troubles: kind to parameters.

    slow: factor; hang; fail; refuse: share of calls; unanswered: share of orders; repeat_answers: share and most seconds;
    announce_elsewhere: an announcement that its agent does not acknowledge goes to the next agent;
    unreachable: calls are reset, get no answer (silent), or are carried out without an answer (mute);
    cut: heartbeats arrive only when the cut is over.
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
        # The last heartbeat of the former life: (worker, body).
        self._former = None
        # Heartbeats that a cut holds up.
        self._held_up = []
        self.up, self.name = False, None
        self.is_removed = False

    # --- lives ---

    async def start(self, same_id=False):
        if self.up or self.is_removed:
            return
        if not (same_id and self._lives):
            self.name = f"i-{self.choice.randrange(1 << 32):08x}"
        self._lives += 1
        self.up, self.state = True, "ready"
        self.faults.pop("unreachable", None)
        self.born, self._begin = int(time.time() * 1000), time.monotonic()
        # The clock of a worker may be 2 % slow.
        self._pace = self.choice.uniform(0.98, 1.0)
        self._base = self.choice.randrange(500_000)
        self._running, self._ended, self._highest, self._attached = {}, [], {}, 0
        self._deadline = self._last_end = self._sequence = self._fence = 0
        self._leaves_at, self._last_read = 0, time.monotonic()
        self._changed = asyncio.Condition()
        self._lapse_check = None
        self.record(what="worker_up", worker=self.name, agent=self.machine.name, cpu=self.machine.cpu)
        await self._listen()
        asyncio.ensure_future(self._announce_regularly(self._lives))

    async def _listen(self):
        self._server = await asyncio.start_server(self._serve, self.machine.ip, self.ports["app"], reuse_address=True)

    def crash(self):
        if not self.up:
            return
        self._former = (self.name, self._heartbeat())
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

    def remove(self):
        """The machine is gone for good, unless another one takes its address."""
        self.crash()
        self.is_removed = True

    async def replace(self, machine_name):
        """Another machine at the address of the removed one."""
        self.machine = dataclasses.replace(self.machine, name=machine_name)
        self.is_removed = False
        await self.start()

    async def unreachable(self, how, length_s):
        """The worker works on, but its agent's calls are refused, reset or not answered."""
        if not self.up or "unreachable" in self.faults:
            return
        life = self._lives
        self.record(what="unreachable", how=how, for_s=round(length_s, 3), worker=self.name, agent=self.machine.name)
        self.faults["unreachable"] = how
        if how == "refuse":
            self._server.close()
        if how in ("silent", "mute"):
            self.mute_connections()
        else:
            self.reset_connections()
        await asyncio.sleep(length_s)
        self.faults.pop("unreachable", None)
        if how == "refuse" and self.up and self._lives == life:
            await self._listen()
        self.record(what="reachable", worker=self.name, agent=self.machine.name)

    async def cut(self, length_s, is_reborn):
        """Partitioned from the agent, which hears what was held up when the cut is over."""
        if not self.up or "cut" in self.faults:
            return
        end = time.monotonic() + length_s
        self.faults["cut"] = True
        asyncio.ensure_future(self.unreachable("silent", length_s))
        if is_reborn:
            await asyncio.sleep(length_s * self.choice.uniform(0.2, 0.8))
            self.crash()
            await self.start(self.choice.random() < 0.5)
            asyncio.ensure_future(self.unreachable("silent", end - time.monotonic()))
        await asyncio.sleep(end - time.monotonic())
        del self.faults["cut"]
        held_up, self._held_up = self._held_up, []
        self.choice.shuffle(held_up)
        for data in held_up:
            await self._deliver_to_agent(data)
            self.record(what="late_heartbeat", worker=self.name, agent=self.machine.name)

    async def notice(self, length_s, deregisters):
        """Drains, and then is ready again in the same life."""
        life = self._lives
        self.state, self._leaves_at = "draining", time.monotonic() + length_s + 1
        await self._announce("Heartbeat")
        await asyncio.sleep(length_s)
        if not self.up or self._lives != life:
            return
        if deregisters:
            await self._announce("Deregister")
            await asyncio.sleep(self.choice.uniform(0, 0.5))
        self.state = "ready"
        self.record(what="ready_again", worker=self.name, agent=self.machine.name, deregistered=deregisters)
        await self._announce("Heartbeat")

    async def drain(self, drain_s):
        self.state, self._leaves_at = "draining", time.monotonic() + drain_s
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

    def _heartbeat(self):
        leaving = {"remainingMs": max(0, int((self._leaves_at - time.monotonic()) * 1000))} if self.state == "draining" else {}
        return {"service": self.service, "address": f"{self.machine.ip}:{self.ports['app']}",
                "zone": self.machine.zone, "version": "v1", "slots": 8, "state": self.state, "coldMs": 0,
                "capacity": {"cpu": self.machine.cpu, "memMb": 32768, "gpu": 0}, "labels": self.machine.labels,
                "clockMs": self.clock(), "seq": self._sequence, "born": self.born, **leaving}

    async def _announce(self, call):
        self._sequence += 1
        data = message(call, self.name, self._heartbeat())
        if await self._deliver_to_agent(data) or "announce_elsewhere" not in self.faults:
            return
        for ip, port in self.others:
            if await self._deliver(data, ip, port):
                self.record(what="announced_elsewhere", worker=self.name, agent=self.machine.name, to=ip)
                return

    async def write_as_other(self, group, length_s, gap_s):
        """Another writer calls the agent's control address until the time is over."""
        end = time.monotonic() + length_s
        while time.monotonic() < end:
            if self.up:
                other_address = f"{self.others[0][0]}:{self.ports['app']}"
                variant, data = (foreign_heartbeat(self.choice, self.name, self._heartbeat(), other_address)
                                 if group == "foreign" else odd_heartbeat(self.choice, self.name, self._heartbeat()))
                accepted = await self._deliver_to_agent(data)
                self.record(what="other_writer", variant=variant, accepted=accepted, worker=self.name, agent=self.machine.name)
            await asyncio.sleep(gap_s * self.choice.uniform(0.2, 1.8))

    async def repeat_former(self, delay_s):
        """The last heartbeat of the former life arrives late."""
        if self._former is None:
            return
        former, body = self._former
        await asyncio.sleep(delay_s)
        for _ in range(LATE_HEARTBEAT_TRIES):
            if await self._deliver_to_agent(message("Heartbeat", former, body)):
                self.record(what="late_heartbeat", former=former, worker=self.name, agent=self.machine.name)
                return
            await asyncio.sleep(LATE_HEARTBEAT_GAP_S)

    async def _deliver_to_agent(self, data):
        if "cut" in self.faults:
            self._held_up.append(data)
            await asyncio.sleep(1)
            return False
        return await self._deliver(data, self.machine.ip, self.ports["control"])

    @staticmethod
    async def _deliver(data, ip, port):
        """True if the agent acknowledges the call within a second."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1)
            writer.write(data)
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
                if self.faults.get("unreachable") == "reset":
                    writer.transport.abort()
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
        if "unreachable" in self.faults:
            if self.faults["unreachable"] == "mute":
                await self._answer_in_time(path, headers, {**body, "waitMs": 0})
            return None
        if self.choice.random() < self.faults.get("refuse", 0):
            return 503, {}
        if path != "/hold" and self.choice.random() < self.faults.get("unanswered", 0):
            delay = self.choice.choice((0, self.choice.uniform(0.05, LATEST_ORDER_S)))
            asyncio.get_running_loop().call_later(delay, self._carry_out_late, path, headers, body, self._lives)
            return None
        answer = await self._answer_in_time(path, headers, body)
        if path == "/hold" and answer[0] == 200:
            self._record_unread()
        return answer

    async def _answer_in_time(self, path, headers, body):
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

    def _record_unread(self):
        now = time.monotonic()
        if now - self._last_read > UNREAD_S:
            self.record(what="unread", for_s=round(now - self._last_read, 3), worker=self.name, agent=self.machine.name)
        self._last_read = now

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
