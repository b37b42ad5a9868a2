"""Stand-in for the platform's store: topics with partitions, newest records by key, producers, groups, and faults."""

import base64
import json
import random
import struct
import threading
import time
from functools import partial

from lab.httpstandin import HttpStandin, NoAnswer

REMEMBERED_APPENDS = 5


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        # By producer: epoch, next sequence number (None if any will do), answers of the last appends.
        self.producers = {}


class Group:
    def __init__(self):
        self.generation = 0
        # By member: the time of its last join, its time to live, and the last generation that it named.
        self.members = {}
        # By partition: the member that holds it.
        self.holders = {}


class StoreStandin:
    """Linearizable under one lock.

    `fault(path, door)` decides, for each call, between "", "refuse", "silent", "lose" and "late". A door is the number
    of the port that the call came through, so that the store can turn away single processes.
    """

    def __init__(self, ports, parts=8, append_ms=4):
        self.parts = parts
        self.append_s = append_ms / 1000
        self.fault = lambda path, door: ""
        # Bounds of the delay, in seconds, after which the store carries out a call that the fault "late" affects.
        self.late_s = (0.3, 1.0)
        # Time by which members of a group are kept beyond their time to live.
        self.extra_ttl_s = 0
        # Appends without records use up a sequence number.
        self.counts_empty_appends = True
        # Time, in seconds, after which an append that was rejected for its number arrives once more; 0 for never.
        self.rejected_again_s = 0
        self.rejected_appends = 0
        # Calls on these topics are refused; the other calls are as `fault` says.
        self.refused_topics = set()
        self.calls = {}
        self._lock = threading.Condition()
        self._partitions = {}
        self._groups = {}
        self._http = [HttpStandin(port, partial(self._handle, door)) for door, port in enumerate(ports)]

    def close(self):
        for server in self._http:
            server.close()

    # --- for tests ---

    def write(self, topic, key, value):
        """Writes a record as an operator would."""
        with self._lock:
            self._add(self._partition(topic, 0), [(key, value)])

    def records(self, topic):
        with self._lock:
            return {key: value for (name, _), partition in self._partitions.items() if name == topic
                    for key, (_, value) in partition.newest.items()}

    def deal_anew(self, group="entries"):
        """Takes all partitions away from their members at once."""
        with self._lock:
            if group in self._groups:
                self._groups[group].generation += 1
                self._groups[group].holders = {}

    # --- calls ---

    def _partition(self, topic, part):
        return self._partitions.setdefault((topic, int(part)), Partition())

    def _add(self, partition, records):
        offset = len(partition.records)
        for key, value in records:
            if value:
                partition.newest[key] = (len(partition.records), value)
            else:
                partition.newest.pop(key, None)
            partition.records.append((key, value))
        self._lock.notify_all()
        return offset

    def _handle(self, door, _method, path, query, _headers, body):
        self.calls[path] = self.calls.get(path, 0) + 1
        fault = self.fault(path, door)
        if fault == "refuse" or query.get("topic") in self.refused_topics:
            return 503, {}
        if fault == "silent":
            time.sleep(3)
            raise NoAnswer
        if fault == "late":
            threading.Timer(random.uniform(*self.late_s), self._perform, (path, query, body)).start()
            raise NoAnswer
        answer = self._perform(path, query, body)
        if fault == "lose":
            raise NoAnswer
        return answer

    def _perform(self, path, query, body):
        call = {"/log-append": self._append, "/log-read": self._read, "/log-newest": self._newest,
                "/log-join": self._join, "/log-leave": self._leave}.get(path)
        return call(query, body) if call else (404, {})

    @staticmethod
    def _decode(body):
        records = []
        while body:
            (length,) = struct.unpack(">I", body[:4])
            content, body = body[4:4 + length], body[4 + length:]
            key_length = content[0]
            records.append((content[1:1 + key_length].decode(), content[1 + key_length:]))
        return records

    def _append(self, query, body):
        time.sleep(self.append_s)
        with self._lock:
            partition = self._partition(query["topic"], query["part"])
            producer = query.get("producer")
            if producer is None:
                offset = self._add(partition, self._decode(body))
                return 200, {"offset": offset, "end": len(partition.records)}
            epoch, sequence = int(query["epoch"]), int(query["seq"])
            known = partition.producers.setdefault(producer, [epoch, None, {}])
            if epoch < known[0]:
                return 409, {"reason": "fenced"}
            if epoch > known[0]:
                known[:] = [epoch, None, {}]
            if sequence in known[2]:
                return known[2][sequence]
            if known[1] not in (None, sequence):
                self._note_rejected(query, body)
                return 409, {"reason": "seq", "seq": known[1]}
            offset = self._add(partition, self._decode(body))
            answer = 200, {"offset": offset, "end": len(partition.records)}
            if not body and not self.counts_empty_appends:
                return answer
            known[1] = sequence + 1
            known[2][sequence] = answer
            known[2].pop(sequence - REMEMBERED_APPENDS, None)
            return answer

    def _note_rejected(self, query, body):
        self.rejected_appends += 1
        if self.rejected_again_s and "again" not in query:
            threading.Timer(self.rejected_again_s, self._append, ({**query, "again": ""}, body)).start()

    def _read(self, query, _body):
        start = int(query["from"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self._lock:
            partition = self._partition(query["topic"], query["part"])
            while len(partition.records) <= start and time.monotonic() < end:
                self._lock.wait(end - time.monotonic())
            data = struct.pack(">QQ", len(partition.records), 0)
            for key, value in partition.records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                data += struct.pack(">I", len(content)) + content
            return 200, data

    def _newest(self, query, _body):
        page = 500
        with self._lock:
            partition = self._partition(query["topic"], query["part"])
            keys = sorted(key for key in partition.newest if key > query.get("after", ""))
            items = [{"key": key, "value": base64.b64encode(partition.newest[key][1]).decode(),
                      "offset": partition.newest[key][0]} for key in keys[:page]]
            return 200, {"items": items, "hasMore": len(keys) > page, "end": len(partition.records)}

    def _deal(self, group):
        """Gives partitions without a holder to the members with the fewest, and plans an even share."""
        now = time.monotonic()
        gone = [name for name, (seen, ttl, _) in group.members.items() if now - seen > ttl + self.extra_ttl_s]
        for name in gone:
            del group.members[name]
            group.generation += 1
        group.holders = {part: name for part, name in group.holders.items() if name in group.members}
        if not group.members:
            return
        share = -(-self.parts // len(group.members))
        for name in sorted(group.members):
            held = [part for part, holder in group.holders.items() if holder == name]
            # A partition beyond the share is given up once its member has named the present generation.
            if group.members[name][2] >= group.generation:
                for part in sorted(held)[share:]:
                    del group.holders[part]
        for part in range(self.parts):
            if part not in group.holders:
                counts = {name: sum(1 for h in group.holders.values() if h == name) for name in group.members}
                group.holders[part] = min(sorted(counts), key=counts.get)

    def _join(self, _query, body):
        call = json.loads(body)
        with self._lock:
            group = self._groups.setdefault(call["group"], Group())
            if call["member"] not in group.members:
                group.generation += 1
            group.members[call["member"]] = (time.monotonic(), call["ttlMs"] / 1000, call["generation"])
            self._deal(group)
            share = -(-self.parts // len(group.members))
            held = sorted(part for part, name in group.holders.items() if name == call["member"])
            return 200, {"generation": group.generation, "ttlMs": call["ttlMs"],
                         "parts": [[call["topics"][0], part, 0] for part in held[:share]]}

    def _leave(self, _query, body):
        call = json.loads(body)
        with self._lock:
            group = self._groups.setdefault(call["group"], Group())
            if group.members.pop(call["member"], None):
                group.generation += 1
            self._deal(group)
            return 200, {}
