#!/usr/bin/env python3
"""Derives the figures of docs/CAPACITY.md from the measured CSV files here.

Prints the tables. With --check, fails unless docs/CAPACITY.md contains each
printed line, so that the page cannot differ from the measurements.
"""
import csv
import json
import math
import pathlib
import sys

HERE = pathlib.Path(__file__).parent
DAEMONS, ENGINES, MODELS, ZONES = 530, 5200, 920, 12
REQUESTS, CHANGES = 46000 / DAEMONS, 20000 / 86400
CPU_LIMIT, BYTE_LIMIT = 1.9, 19.0  # percent of a core, KB/s
CLAIM_SHARDS = 16
SHARDS = CLAIM_SHARDS + 1
lines = []
costs_by_label = {}


def rows(name):
    with open(HERE / f"{name}.csv") as file:
        return list(csv.DictReader(file))


def column(table, name):
    return [float(row[name]) for row in table]


def fit(label, x, y, target, kind="linear"):
    """Least squares of the relative error; power laws on logarithms.

    Adds a row with the largest relative residual, and that of the largest size.
    """
    u = x if kind == "linear" else [math.log(value) for value in x]
    v = [math.log(value) for value in y] if kind == "power" else y
    weight = [1.0 if kind == "power" else 1 / value**2 for value in y]
    total = sum(weight)
    mean_u = sum(w * a for w, a in zip(weight, u)) / total
    mean_v = sum(w * b for w, b in zip(weight, v)) / total
    slope = sum(w * (a - mean_u) * (b - mean_v)
                for w, a, b in zip(weight, u, v)) / sum(
                    w * (a - mean_u)**2 for w, a in zip(weight, u))
    base = mean_v - slope * mean_u

    def value(at):
        if kind == "power":
            return math.exp(base) * at**slope
        return base + slope * (math.log(at) if kind == "log" else at)

    residuals = [(value(a) - b) / b * 100 for a, b in zip(x, y)]
    largest = max(abs(residual) for residual in residuals)
    last = residuals[x.index(max(x))]
    if kind == "power":
        formula = f"{math.exp(base):.4g} n^{slope:.3g}"
    else:
        formula = f"{base:.4g} + {slope:.4g} {'ln ' if kind == 'log' else ''}n"
    lines.append(f"| {label} | {len(x)} | {formula} | {largest:.0f}% "
                 f"| {last:+.0f}% | {target:,} | {value(target):.4g} |")
    return value


def cost(label, percent, kilobytes, calls):
    costs_by_label[label] = (percent, kilobytes)
    over = percent > CPU_LIMIT or kilobytes > BYTE_LIMIT
    lines.append(f"| {label} | {percent:.2f} | {kilobytes:,.1f} | {calls:,.1f} "
                 f"| {'above' if over else 'within'} |")


# Fits
members = rows("membership_traffic")
phase = {}
for name in ("at_rest", "zone_cut_off", "region_cut_off", "start"):
    part = [row for row in members if row["phase"] == name]
    size = column(part, "members")
    phase[name] = (
        fit(f"failure detection, {name}, bytes/s", size, column(part, "bytes"),
            DAEMONS, "power" if name.endswith("cut_off") else "log"),
        fit(f"failure detection, {name}, us/s", size,
            column(part, "processor_us"), DAEMONS))
route = rows("routing_capacity")
size = column(route, "engines")
decision = fit("routing decision, us", size, column(route, "decision_us"),
               ENGINES)
build = fit("routing table build, ms", size, column(route, "build_ms"), ENGINES)
table = fit("routing table, bytes", size, column(route, "table_bytes"), ENGINES)
plan = rows("plan_time")
size = column(plan, "engines")
plan_median = fit("plan, median, s", size, column(plan, "median_plan_s"),
                  ENGINES, "power")
plan_longest = fit("plan, longest, s", size, column(plan, "longest_plan_s"), ENGINES, "power")
fit("plan, process memory, MB", size, column(plan, "peak_process_mb"), ENGINES)
log = rows("command_log_time")
reports = fit("command log, one report of each engine, s",
              column(log, "engines"), column(log, "reports_s"), ENGINES,
              "power")
text = rows("document_capacity")
size = column(text, "upstreams")
parse = fit("document, whole parse, ms", size, column(text, "parse_ms"),
            ENGINES)
document = fit("document, heap, bytes", size, column(text, "document_bytes"),
               ENGINES)
sections = {}
for name in ("upstreams", "models", "accounts"):
    sections[name] = (
        fit(f"section {name}, bytes", size, column(text, f"{name}_bytes"),
            ENGINES),
        fit(f"section {name}, parse of a change, ms", size,
            column(text, f"{name}_change_ms"), ENGINES))
claims = [row for row in rows("claim_log_capacity") if row["body_bytes"] == "0"]
bodies = [row for row in rows("claim_log_capacity")
          if row["body_bytes"] == "200"]
size = column(claims, "records")
log_bytes = fit("claim log, no body, bytes", size, column(claims, "log_bytes"),
                3120)
encode = fit("claim log, no body, encode, us", size,
             column(claims, "encode_us"), 3120)
body_bytes = fit("claim log, 200-byte body, bytes", size,
                 column(bodies, "log_bytes"), 1619)
owner = rows("owner_record_capacity")
size = column(owner, "members")
record = fit("owner record, bytes", size, column(owner, "record_bytes"),
             DAEMONS)
record_us = fit("owner record, parse, us", size, column(owner, "parse_us"),
                DAEMONS)
peer = rows("peer_request_capacity")
size = column(peer, "accounts")
peer_us = fit("peer request, both sides, us, by accounts in it", size,
              column(peer, "processor_us"), 100)
peer_bytes = fit("peer request, parameters, bytes, by accounts", size,
                 column(peer, "parameter_bytes"), 100)
budget = rows("budget_owner_capacity")
size = [float(r["members"]) * float(r["budgets"]) for r in budget]
work = [a + b for a, b in zip(column(budget, "reports_ms_per_tick"),
                              column(budget, "tick_ms"))]
owner_ms = fit("budget owner, reports and tick, ms, by members x accounts",
               size, work, 53000)
owner_bytes = fit("budget owner, heap, bytes, by members x accounts", size,
                  column(budget, "owner_bytes"), 53000)
poll = rows("engine_poll_capacity")
size = column(poll, "resident_items")
poll_us = fit("engine poll, both sides, us, by resident items", size,
              column(poll, "processor_us"), 20)
poll_bytes = fit("engine poll, response bytes, by resident items", size,
                 column(poll, "response_bytes"), 20)
fits, lines = lines, []

# Costs per daemon: percent of a core, KB/s, calls or messages per second
detect_bytes = phase["at_rest"][0](DAEMONS) + 2 * (64 + 28)
cost("failure detection at rest", phase["at_rest"][1](DAEMONS) / 1e4,
     detect_bytes / 1e3, 2)
cut_bytes = phase["zone_cut_off"][0](DAEMONS) + 3.55 * (64 + 28)
cost("failure detection, a quarter of the members cut off",
     phase["zone_cut_off"][1](DAEMONS) / 1e4, cut_bytes / 1e3, 3.55)
cost("failure detection, a third of the members cut off",
     phase["region_cut_off"][1](DAEMONS) / 1e4,
     (phase["region_cut_off"][0](DAEMONS) + 3.93 * (64 + 28)) / 1e3, 3.93)
cost("routing and admission of its requests",
     REQUESTS * (decision(ENGINES) + 0.124) / 1e4, 0, REQUESTS)
polls = 4 * ENGINES
cost("today: poll of every engine each 250 ms, 20 items",
     polls * poll_us(20) / 2e4, polls * poll_bytes(20) / 1e3, polls)
share = ENGINES / DAEMONS
cost("mechanism: poll of 1/530 of the engines each second, 20 items",
     share * poll_us(20) / 2e4, share * poll_bytes(20) / 1e3, share)
for text_of_row, each in (
        ("today: owner records of 17 shards each 10 s", 10),
        ("today: the same each 500 ms while no owner is live", 0.5),
        ("mechanism: owner records of 17 shards each 10 min", 600)):
    cost(text_of_row, SHARDS / each * record_us(DAEMONS) / 1e4,
         SHARDS / each * record(DAEMONS) / 1e3, SHARDS / each)
cost("mechanism: records of 266 shards each 10 min",
     266 / 600 * record_us(DAEMONS) / 1e4, 266 / 600 * record(DAEMONS) / 1e3,
     266 / 600)
changes = column(plan, "loads_per_plan")[-1] / 10
cost("today: routing table built at each load of a model (plan each 10 s)",
     changes * build(ENGINES) / 10, 0, changes)
cost("mechanism: routing table built once a second", build(ENGINES) / 10, 0, 1)
entry = len(json.dumps({"address": "127.100.100.100:9000",
                        "availability_zone": "zone-10", "id": "instance-1000",
                        "state": "live"}, separators=(",", ":"))) + 1
cost("today: instance list each 500 ms (bytes only)", 0,
     2 * entry * (DAEMONS + ENGINES) / 1e3, 2)
mean_bytes = sum(s[0](ENGINES) for s in sections.values()) / 3
mean_ms = sum(s[1](ENGINES) for s in sections.values()) / 3
cost("today: each change parses the whole document",
     CHANGES * parse(ENGINES) / 10, CHANGES * mean_bytes / 1e3, 3 * CHANGES)
cost("mechanism: each change parses only its section (mean of 3)",
     CHANGES * mean_ms / 10, CHANGES * mean_bytes / 1e3, 3 * CHANGES)
cost("mechanism: the same, upstreams section only",
     CHANGES * sections["upstreams"][1](ENGINES) / 10,
     CHANGES * sections["upstreams"][0](ENGINES) / 1e3, 3 * CHANGES)
cost("today: budget report each 500 ms, 100 accounts, sender's half",
     2 * peer_us(100) / 2e4, 2 * peer_bytes(100) / 1e3, 2)
cost("today: budget owner, 100 accounts, requests",
     2 * DAEMONS * peer_us(100) / 2e4, 2 * DAEMONS * peer_bytes(100) / 1e3,
     2 * DAEMONS)
cost("today: budget owner, 100 accounts, table",
     2 * owner_ms(53000) / 10, 0, 0)
cost("today: budget owner, 2,000 accounts, requests",
     2 * DAEMONS * peer_us(2000) / 2e4, 2 * DAEMONS * peer_bytes(2000) / 1e3,
     2 * DAEMONS)
cost("today: budget owner, 2,000 accounts, table",
     2 * owner_ms(530 * 2000) / 10, 0, 0)
def shard_owner(accounts, seconds):
    cost(f"mechanism: owner of a shard of {accounts} accounts, 530 reports each "
         f"{seconds} s",
         DAEMONS / seconds * peer_us(accounts) / 2e4
         + owner_ms(DAEMONS * accounts) / seconds / 10,
         DAEMONS / seconds * peer_bytes(accounts) / 1e3, DAEMONS / seconds)


shard_owner(8, 1)
shard_owner(8, 30)
cost("mechanism: reports of a daemon to 250 such shards each 30 s",
     250 / 30 * peer_us(8) / 2e4, 250 / 30 * peer_bytes(8) / 1e3, 250 / 30)
demand = {f"model-{i}": [12345, 0, 0] for i in range(87)}
demand_bytes = len(json.dumps(demand, separators=(",", ":"))) + 80
# Requests of the same size in bytes cost the same, whatever they contain.
accounts_alike = (demand_bytes - 95) / 84
cost("today: placement owner, demand reports each second (87 models each)",
     DAEMONS * peer_us(accounts_alike) / 2e4, DAEMONS * demand_bytes / 1e3,
     DAEMONS)
cost("mechanism: demand summed per zone, 44 reports each 10 s",
     4.4 * peer_us(accounts_alike) / 2e4, 4.4 * demand_bytes / 1e3, 4.4)
cost("today: placement owner, every report each 300 ms",
     reports(ENGINES) / 0.3 * 100, 0, 0)
cost("mechanism: every report each 2 s", reports(ENGINES) / 2 * 100, 0, 0)
cost("today: placement owner, a plan in each step of 300 ms",
     plan_median(ENGINES) / max(0.3, plan_median(ENGINES)) * 100, 0, 0)
cost("mechanism: placement owner, median plan each 10 s",
     plan_median(ENGINES) / 10 * 100, 0, 0)
cost("mechanism: change of an entry as a chunk of 16 KB, parse excluded", 0,
     CHANGES * 16, 2 * CHANGES)
costs, lines = lines, []

# Calls at the object API per second: reads, writes
calls = [("today: watch of config/head, renewed each second", DAEMONS, 0),
         ("today: revision and chunks of each change", 3 * CHANGES * DAEMONS,
          5 * CHANGES),
         (f"today: owner records of {SHARDS} shards each 10 s",
          SHARDS * DAEMONS / 10, 0),
         (f"today: records of {CLAIM_SHARDS} claim shards by their owners",
          2 * CLAIM_SHARDS, 0),
         ("today: placement lease record each 300 ms", DAEMONS / 0.3, 1 / 1.5)]
calls.append(("today: sum of the above", sum(c[1] for c in calls),
              sum(c[2] for c in calls)))
readers = 2 * ZONES
calls += [("design: watch of config/head by two readers per zone", readers, 0),
          ("design: revision and chunks for these readers",
           3 * CHANGES * readers, 5 * CHANGES),
          (f"design: owner records of {SHARDS} shards each 10 min",
           SHARDS * DAEMONS / 600, 0),
          ("design: placement lease each 10 s", DAEMONS / 10, 1 / 1.5)]
calls.append(("design: sum of these four", sum(c[1] for c in calls[6:]),
              sum(c[2] for c in calls[6:])))
for label, reads, writes in calls:
    lines.append(f"| {label} | {reads:,.1f} | {writes:,.1f} |")
lines.append("| today: in addition while no shard has a live owner "
             f"| {SHARDS * DAEMONS * (2 - 0.1):,.1f} | 0.0 |")
per_daemon = calls[5][1] / DAEMONS
lines.append(f"Today's reads reach 2,000/s at {2000 / per_daemon:.0f} daemons.")
slope = (log_bytes(2000) - log_bytes(1000)) / 1000
with_body = (body_bytes(2000) - body_bytes(1000)) / 1000
capacity = CLAIM_SHARDS * 900000 / slope
lines.append(f"Claims in 24 h before {CLAIM_SHARDS} logs of 900,000 bytes are full: "
             f"{capacity:,.0f} without bodies, {CLAIM_SHARDS * 900000 / with_body:,.0f} "
             f"with bodies of 200 bytes.")
daily = 460 * 86400
lines.append(f"Claims in 24 h if 1% of 46,000 requests/s are claimed: "
             f"{daily:,.0f}, {daily * slope / 1e9:.1f} GB, "
             f"{daily * slope / 900000:,.0f} logs of 900,000 bytes.")
lines.append(f"Heap: document {document(ENGINES) / 1e6:.1f} MB, routing table "
             f"{table(ENGINES) / 1e6:.1f} MB, prefix index 4.3 MB, budget owner "
             f"{owner_bytes(53000) / 1e6:.1f} MB with 100 accounts, "
             f"{owner_bytes(530 * 2000) / 1e6:.0f} MB with 2,000.")

lines.append(f"Polls per engine today: {4 * DAEMONS:,}/s. Load reports that "
             f"19 KB/s allow: {19000 / poll_bytes(20):.0f}/s with 20 items, "
             f"{19000 / poll_bytes(0):.0f}/s with none.")
lines.append(f"A full claim log written each 100 ms: "
             f"{10 * encode(3120) / 1e4:.0f}% of a core and 9 MB/s per shard, "
             f"{10 * CLAIM_SHARDS} writes/s for {CLAIM_SHARDS} shards.")
step = plan_longest(2 * ENGINES) / plan_longest(ENGINES)
limit = ENGINES * (1 / plan_longest(ENGINES)) ** (math.log(2) / math.log(step))
lines.append(f"The longest plan takes 1 s at {limit:,.0f} engines. A new placement "
             f"owner reads {ENGINES:,} reserved sets, {ENGINES / 2000:.1f} s of the "
             f"read limit.")
member = (detect_bytes / 1e3 + 250 / 30 * peer_bytes(8) / 1e3
          + demand_bytes / 1e4 + CHANGES * 16
          + SHARDS / 600 * record(DAEMONS) / 1e3)
lines.append(f"A plain member with all mechanisms: "
             f"{member + share * poll_bytes(20) / 1e3:.1f} KB/s with 20 items in "
             f"each load report, {member + share * poll_bytes(0) / 1e3:.1f} KB/s "
             f"with none; the owner of a budget shard needs "
             f"{DAEMONS / 30 * peer_bytes(8) / 1e3:.1f} KB/s more.")



def total(*labels):
    found = [costs_by_label[label] for label in labels]
    return [sum(part) for part in zip(*found)]


def role(label, state, today, mechanism, memory, calls_today, calls_after):
    lines.append(
        f"| {label} | {state} | {today[0]:.1f} / {mechanism[0]:.2f} "
        f"| {today[1]:,.0f} / {mechanism[1]:.1f} | {memory} "
        f"| {calls_today:,.1f} / {calls_after:,.1f} |")


snapshot = (document(ENGINES) + table(ENGINES)) / 1e6 + 4.3
role("traffic server", "snapshot, routing table, prefix index",
     total("today: poll of every engine each 250 ms, 20 items",
           "routing and admission of its requests",
           "today: routing table built at each load of a model (plan each 10 s)"),
     [share * poll_us(0) / 2e4 + build(ENGINES) / 10
      + costs_by_label["routing and admission of its requests"][0],
      share * poll_bytes(0) / 1e3], f"{snapshot:.1f} MB", 0, 0)
sent = [peer_us(accounts_alike) / 2e4, demand_bytes / 1e3]
role("plain member", "member table, shares, terms",
     [a + b for a, b in zip(sent, total(
         "failure detection at rest",
         "today: owner records of 17 shards each 10 s",
         "today: instance list each 500 ms (bytes only)",
         "today: budget report each 500 ms, 100 accounts, sender's half"))],
     [a + b for a, b in zip([v / 10 for v in sent], total(
         "failure detection at rest", "mechanism: owner records of 17 shards each 10 min",
         "mechanism: reports of a daemon to 250 such shards each 30 s"))],
     "not measured", SHARDS / 10 + 1 / 0.3, SHARDS / 600 + 0.1)
role("budget shard owner, 100 accounts (today) or 8", "members times accounts",
     total("today: budget owner, 100 accounts, requests",
           "today: budget owner, 100 accounts, table"),
     total("mechanism: owner of a shard of 8 accounts, 530 reports each 30 s"),
     f"{owner_bytes(53000) / 1e6:.1f} / {owner_bytes(530 * 8) / 1e6:.1f} MB",
     0, 0)
role("claim shard owner, a full log each 100 ms (today) or 16 KB segments",
     "claims of 24 h", [10 * encode(3120) / 1e4, 9000],
     [10 * encode(57) / 1e4, 164], "0.9 MB of log", 12, 10)
role("placement owner", "plan, command log, demand",
     total("today: placement owner, demand reports each second (87 models each)",
           "today: placement owner, every report each 300 ms",
           "today: placement owner, a plan in each step of 300 ms"),
     total("mechanism: demand summed per zone, 44 reports each 10 s",
           "mechanism: every report each 2 s",
           "mechanism: placement owner, median plan each 10 s"),
     "16 MB process", 1 / 1.5, 1 / 1.5)
role("configuration reader (today every daemon)", "watch position, document",
     total("today: each change parses the whole document"),
     [CHANGES * mean_ms / 10, CHANGES * 16], "in the snapshot",
     1 + 3 * CHANGES, 1 + 3 * CHANGES)

printed = fits + costs + lines
if "--check" not in sys.argv:
    print("\n".join(printed))
    sys.exit(0)
page = (HERE.parent / "CAPACITY.md").read_text().splitlines()
missing = [line for line in printed if line not in page]
print("\n".join(missing) or "docs/CAPACITY.md agrees with the measurements")
sys.exit(1 if missing else 0)
