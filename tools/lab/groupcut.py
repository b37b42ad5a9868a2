"""Cuts between two groups of processes, for the fault-injecting proxy."""


def peer_link(name, listen, to):
    """A link to the process `name`. The proxy knows by the first frame which process has dialled."""
    return {"name": f"peer/{name}", "listen": listen, "to": to, "framed": "fleet"}


def group_cut(inside, outside, length_s, fault_id):
    """Faults that cut the processes `inside` off from the store and from those `outside`, in both directions.

    Connections stand; what they carry arrives when the cut is over.
    """
    common = {"kind": "drop", "forMs": int(length_s * 1000), "id": fault_id}
    faults = [{**common, "link": f"store/{name}"} for name in inside]
    for one in inside:
        for other in outside:
            faults.append({**common, "link": f"peer/{one}", "peer": other})
            faults.append({**common, "link": f"peer/{other}", "peer": one})
    return faults
