#!/usr/bin/env python3
"""Times of each configuration's way through a fleet, hop by hop.

Reads the log of a play, each line "SECONDS INSTANCE JSON", on standard input:

    fleetbench run SITE DAY --log all --why "..." | docs/capacity/config_hops.py

A way has two hops: from the moment at which the first daemon knew of the version to the one at which this daemon did, and
from there until it had the version in force. A daemon that reads the store's watch knows and has it at once.
"""
import collections
import json
import sys

FIRST_VERSION_OF_PROCESS = -1


def quantile(values, part):
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


def main():
    ways = collections.defaultdict(list)
    for line in sys.stdin:
        fields = line.split(None, 2)
        if len(fields) < 3 or '"config_in_force"' not in fields[2]:
            continue
        event = json.loads(fields[2])
        if event["before"] == FIRST_VERSION_OF_PROCESS:
            continue
        in_force = float(fields[0])
        known = in_force - event["behind_ms"] / 1000
        ways[event["config"]].append((known, in_force, event["source"]))
    hops = {"until known": [], "until in force": [], "both": []}
    sources = collections.Counter()
    for way in ways.values():
        first = min(known for known, _, _ in way)
        for known, in_force, source in way:
            hops["until known"].append(known - first)
            hops["until in force"].append(in_force - known)
            hops["both"].append(in_force - first)
            sources["store" if source == "store" else "another daemon"] += 1
    if not ways:
        sys.exit("no daemon changed its configuration in this log")
    print(f"{len(ways)} versions, {len(hops['both'])} changes; from " +
          ", ".join(f"{source}: {count}" for source, count in sorted(sources.items())))
    print("| hop | median s | 95% s | 99% s | longest s |\n|---|---|---|---|---|")
    for hop, times in hops.items():
        row = [quantile(times, part) for part in (0.5, 0.95, 0.99, 1)]
        print(f"| {hop} | " + " | ".join(f"{value:.3f}" for value in row) + " |")


if __name__ == "__main__":
    main()
