"""Clients of a day: best-effort jobs at a site's rate, sent again as the protocol says."""

import asyncio
import json
import random

from lab.dayworkers import Recorder, take_commands

# A job is sent at most this often.
MOST_SENDS = 4
# Share of jobs whose request arrives again seconds after its answer.
LATE_REPEATS = 0.01


class Clients:
    """`settings` holds what troubles change: rate (factor), leave (share), hopeless (share)."""

    def __init__(self, site, doors, share, seed, record):
        self.site, self.doors, self.share, self.record = site, doors, share, record
        self.choice = random.Random(seed)
        self.settings = {"rate": 1.0, "leave": 0.0, "hopeless": 0.0, "class": None, "zone": None}
        self.kept = {door: [] for door in doors}
        self.open = set()

    async def run(self, seconds):
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.choice.expovariate(self.site.rate * self.share * self.settings["rate"]))
            task = asyncio.ensure_future(self._job())
            self.open.add(task)
            task.add_done_callback(self.open.discard)

    async def run_kept(self, seconds):
        """Submits the jobs that have to be kept, beside the site's own."""
        rate, end = self.site.kept_per_s * self.share, asyncio.get_running_loop().time() + seconds
        while rate and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self.choice.expovariate(rate))
            task = asyncio.ensure_future(self._job(self.site.kept_class))
            self.open.add(task)
            task.add_done_callback(self.open.discard)

    def _class(self):
        if self.settings["class"] and self.choice.random() < 0.5:
            return next(each for each in self.site.classes if each.name == self.settings["class"])
        return self.choice.choices(self.site.classes, [each.rate for each in self.site.classes])[0]

    def _door(self):
        row = self.choice.choices(self.site.traffic, [each["per_s"] for each in self.site.traffic])[0]
        zone = self.settings["zone"] if self.settings["zone"] and self.choice.random() < 0.5 else row["zone"]
        near = [door for door in self.doors if door[2] == zone]
        return self.choice.choice(near or self.doors)

    async def _job(self, kind=None):
        kind, job = kind or self._class(), f"{self.choice.getrandbits(64):016x}"
        body = json.dumps(kind.draw(self.choice, self.choice.random() < self.settings["hopeless"])).encode()
        door = self._door()
        for send in range(MOST_SENDS):
            leaves = self.choice.random() < self.settings["leave"]
            patience = kind.deadline_ms / 1000 * (self.choice.uniform(0.05, 0.9) if leaves else 1)
            status = await self._post(door, kind, job, body, patience)
            self.record(what="answer", job=job, cls=kind.name, send=send, status=status, entry=door[3])
            late_repeat = status == 200 and self.choice.random() < LATE_REPEATS
            if status not in (0, 502, 504) and not late_repeat or leaves:
                return
            await asyncio.sleep(self.choice.uniform(2, 5) if late_repeat else self.site.resend_s)
            door = self.choice.choice(self.doors)

    async def _connect(self, door):
        if self.kept[door]:
            return self.kept[door].pop()
        for other in [door, *self.choice.sample(self.doors, len(self.doors))]:
            try:
                return await asyncio.open_connection(other[0], other[1])
            except OSError:
                continue
        raise OSError("no entry listens")

    async def _post(self, door, kind, job, body, patience):
        """The status, or 0 without an answer in time."""
        writer = None
        try:
            reader, writer = await asyncio.wait_for(self._connect(door), patience)
            writer.write((f"POST {kind.prefix}{job} HTTP/1.1\r\nHost: day.example\r\nContent-Type: application/json\r\n"
                          f"Deadline-Ms: {kind.deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), patience)
            fields = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:] if ": " in line)
            await reader.readexactly(int(fields.get("content-length", 0)))
            if fields.get("connection") != "close":
                self.kept[door].append((reader, writer))
                writer = None
            return int(head.split()[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            if writer:
                writer.close()


def run_clients(pipe, site, doors, share, seed, seconds, path):
    """Main function of a process with a share of the clients. `doors` are rows of address, port, zone and name."""
    async def main():
        record = Recorder(path)
        clients = Clients(site, doors, share, seed, record)
        commands = asyncio.ensure_future(take_commands(pipe, clients.settings.update))
        await asyncio.gather(clients.run(seconds), clients.run_kept(seconds))
        if clients.open:
            await asyncio.wait(list(clients.open), timeout=8)
        commands.cancel()
        record.close()
    asyncio.run(main())
