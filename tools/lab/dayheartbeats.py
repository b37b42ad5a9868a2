"""Heartbeats at an agent's control address that its worker did not send, or sent in a former life."""

import json

# Of another type than any field of a heartbeat has.
OTHER_TYPES = (None, True, -1, 1.5, "", "9", [], {}, [1], {"a": 1})
HIGH_SEQUENCE = 1_000_000
UNREADABLE = (b"", b"{", b"\xff\xfe\x00\x01", b"[]", b"null", b"[" * 2000, b'{"service":"\xc3"}')


def message(call, worker, body):
    """The bytes of a call to a control address; `body` is a dict or bytes."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return (f"POST /Instances.{call}/{worker} HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n").encode() + data


def foreign_heartbeat(choice, worker, body, other_address):
    """(variant, message) of a well-formed call that does not come from the worker, whose heartbeat is `body`."""
    other = f"i-{choice.randrange(1 << 32):08x}"
    older, later = body["born"] - choice.randrange(1, 20_000), body["born"] + choice.randrange(1, 20_000)
    no_born = {key: value for key, value in body.items() if key != "born"}
    variants = {
        "other_id": (other, {**body, "born": later, "seq": 1}),
        "other_id_same_born": (other, body),
        "other_id_older": (other, {**body, "born": older}),
        "other_id_no_born": (other, no_born),
        "other_id_other_address": (other, {**body, "born": later, "address": other_address}),
        "other_id_draining": (other, {**body, "born": later, "state": "draining"}),
        "unknown_service": (other, {**body, "born": later, "service": "nobody"}),
        "same_id_unknown_service": (worker, {**body, "service": "nobody"}),
        "same_id_older": (worker, {**body, "born": older}),
        "same_id_later": (worker, {**body, "born": later, "seq": 1}),
        "same_id_no_born": (worker, no_born),
        "same_id_other_address": (worker, {**body, "address": other_address}),
        "same_id_high_sequence": (worker, {**body, "seq": HIGH_SEQUENCE}),
        "same_id_no_room": (worker, {**body, "capacity": {"cpu": 0, "memMb": 0, "gpu": 0}}),
    }
    variant = choice.choice([*variants, "deregister_other_id"])
    if variant == "deregister_other_id":
        return variant, message("Deregister", other, body)
    return variant, message("Heartbeat", *variants[variant])


def odd_heartbeat(choice, worker, body):
    """(variant, message) of a call that cannot be read as a heartbeat, under the worker's id or another one."""
    name = choice.choice((worker, worker, f"i-{choice.randrange(1 << 32):08x}", "", "%00", "x" * 300))
    field = choice.choice(sorted(body))
    how = choice.choice(("missing", "other_type", "state", "unreadable"))
    if how == "missing":
        return f"missing_{field}", message("Heartbeat", name, {key: value for key, value in body.items() if key != field})
    if how == "other_type":
        return f"other_type_{field}", message("Heartbeat", name, {**body, field: choice.choice(OTHER_TYPES)})
    if how == "state":
        return "unknown_state", message("Heartbeat", name, {**body, "state": choice.choice(("starting", "Ready", "gone"))})
    return "unreadable", message("Heartbeat", name, choice.choice(UNREADABLE))
