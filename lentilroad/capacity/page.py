"""Work out docs/capacity-own-interface.md from measured slopes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lentilroad.capacity import const
from lentilroad.capacity.fit import Slope
from lentilroad.const import HEARTBEAT_INTERVAL_S
from lentilroad.membership.const import (
    MAP_WATCH_ENTRIES,
    PROBE_INTERVAL_S,
    SHARD_COUNT,
    SIDECAR_HOME_ENTRIES,
)
from lentilroad.version.const import WATCHERS_PER_REGION


@dataclass(slots=True, kw_only=True)
class Measured:
    """All that the page is worked out from."""

    program: Slope
    history: Slope
    directory: Slope
    shard: Slope
    held_program: Slope
    sidecar_heartbeat: Slope
    pair_heartbeat: Slope
    turn_owner: Slope
    turn_both: Slope
    turn_bytes: Slope
    heartbeat_bytes: int
    pair_bytes: int
    change_messages: Slope
    change_bytes: Slope
    change_cpu: Slope
    change_p99: Slope
    idle_messages_per_s: float
    idle_bytes_per_s: float
    key_value: Mapping[str, float]
    key_value_after_outage: Mapping[str, float]
    entry_idle_mb: float
    sidecar_idle_mb: float

    def slopes(self) -> list[Slope]:
        """Return the fitted lines in the order of the page."""
        return [
            self.program,
            self.history,
            self.directory,
            self.shard,
            self.held_program,
            self.sidecar_heartbeat,
            self.pair_heartbeat,
            self.turn_owner,
            self.turn_both,
            self.turn_bytes,
            self.change_messages,
            self.change_bytes,
            self.change_cpu,
            self.change_p99,
        ]


def _number(value: float) -> str:
    if value == 0:
        return "0"
    digits = 0 if abs(value) >= 100 else 2 if abs(value) >= 1 else 4
    return f"{value:,.{digits}f}"


def _table(header: list[str], rows: list[list[str]]) -> str:
    lines = [" | ".join(header), " | ".join("---" for _ in header)]
    lines += [" | ".join(row) for row in rows]
    return "\n".join(f"| {line} |" for line in lines)


def _slopes_table(measured: Measured) -> str:
    return _table(
        ["what", "sizes", "slope", "standard error", "unit"],
        [
            [
                slope.name,
                ", ".join(f"{size:,.0f}" for size in slope.sizes),
                _number(slope.slope),
                _number(slope.error),
                slope.unit,
            ]
            for slope in measured.slopes()
        ],
    )


@dataclass(slots=True, kw_only=True)
class Load:
    """Messages and processor time of one control duty at one node."""

    name: str
    messages_per_s: float
    bytes_per_s: float
    cpu_us_per_s: float
    mechanism: str


def entry_duties(measured: Measured) -> list[Load]:
    """Return the control duties of one entry at the target size."""
    heartbeats_per_s = (
        const.WORKERS / const.NODES * SIDECAR_HOME_ENTRIES / HEARTBEAT_INTERVAL_S
    )
    shards = SHARD_COUNT * const.REGIONS / const.NODES
    # An entry is owner in as many pairs as it is standby.
    pairs_per_s = 2 * shards / HEARTBEAT_INTERVAL_S
    probes_per_s = 2 / PROBE_INTERVAL_S
    changes_per_s = const.CHANGES_PER_DAY / const.SECONDS_PER_DAY
    processes = const.NODES + const.WORKERS
    header = const.TRANSPORT_BYTES_PER_MESSAGE
    change_messages = measured.change_messages.at(processes)
    return [
        Load(
            name="heartbeats of sidecars",
            messages_per_s=heartbeats_per_s,
            bytes_per_s=heartbeats_per_s * (measured.heartbeat_bytes + 2 * header),
            cpu_us_per_s=heartbeats_per_s * measured.sidecar_heartbeat.slope / 2,
            mechanism="2 home entries per sidecar by rendezvous hashing",
        ),
        Load(
            name="heartbeats of shard pairs",
            messages_per_s=pairs_per_s,
            bytes_per_s=pairs_per_s * (2 * measured.pair_bytes + 2 * header),
            cpu_us_per_s=pairs_per_s * measured.pair_heartbeat.slope / 2,
            mechanism="one heartbeat per partner, not per shard or program",
        ),
        Load(
            name="probes among entries",
            messages_per_s=probes_per_s,
            bytes_per_s=probes_per_s * (4 * measured.pair_bytes + 2 * header),
            cpu_us_per_s=probes_per_s * measured.pair_heartbeat.slope / 2,
            mechanism="one probe per 500 ms, updates piggybacked in bounded number",
        ),
        Load(
            name="configuration, idle",
            messages_per_s=measured.idle_messages_per_s,
            bytes_per_s=measured.idle_bytes_per_s
            + measured.idle_messages_per_s * header,
            cpu_us_per_s=measured.idle_messages_per_s
            * measured.pair_heartbeat.slope
            / 2,
            mechanism="digests to random peers",
        ),
        Load(
            name="configuration changes",
            messages_per_s=changes_per_s * change_messages,
            bytes_per_s=changes_per_s
            * (measured.change_bytes.at(processes) + change_messages * header),
            cpu_us_per_s=changes_per_s * measured.change_cpu.at(processes),
            mechanism="content-addressed parts, only changed parts travel",
        ),
    ]


def _duties_table(duties: list[Load]) -> str:
    rows = [
        [
            duty.name,
            _number(duty.messages_per_s),
            _number(duty.bytes_per_s),
            f"{duty.cpu_us_per_s / 1e4:.3f} %",
            duty.mechanism,
        ]
        for duty in duties
    ]
    total_bytes = sum(duty.bytes_per_s for duty in duties)
    total_cpu = sum(duty.cpu_us_per_s for duty in duties)
    rows.append(
        [
            "**sum**",
            _number(sum(duty.messages_per_s for duty in duties)),
            f"**{_number(total_bytes)}** (bound {_number(const.CONTROL_BYTES_PER_S)}: "
            f"{_verdict(total_bytes, const.CONTROL_BYTES_PER_S)})",
            f"**{total_cpu / 1e4:.3f} %** (bound "
            f"{const.CONTROL_CORE_SHARE * 100:.1f} %: "
            f"{_verdict(total_cpu / 1e6, const.CONTROL_CORE_SHARE)})",
            "",
        ]
    )
    return _table(["duty", "messages/s", "bytes/s", "core", "mechanism"], rows)


def _verdict(value: float, bound: float) -> str:
    return "met" if value <= bound else "missed"


def _entry_memory(measured: Measured) -> str:
    programs = const.PROGRAMS / const.NODES
    parts = [
        ("idle process", measured.entry_idle_mb),
        ("programs owned", programs * measured.program.slope / 1e6),
        ("copies as standby", programs * measured.program.slope / 1e6),
        ("directory of sidecars", const.WORKERS * measured.directory.slope / 1e6),
        (
            "shard maps",
            SHARD_COUNT * const.REGIONS * measured.shard.slope / 1e6,
        ),
    ]
    fixed_mb = sum(value for _, value in parts)
    left_mb = const.CONTROL_MEMORY_MB - fixed_mb
    tokens = left_mb * 1e6 / (2 * programs * measured.history.slope)
    longest_mb = 2 * programs * const.HISTORY_TOKENS_MAX * measured.history.slope / 1e6
    table = _table(["part", "MB"], [[name, f"{value:.1f}"] for name, value in parts])
    verdict = _verdict(longest_mb, left_mb)
    return (
        f"{table}\n\nSum without history {fixed_mb:.1f} MB of "
        f"{const.CONTROL_MEMORY_MB:.0f} MB. The rest holds histories of "
        f"{tokens:,.0f} tokens on average, for {programs:.0f} owned programs and as "
        f"many copies. If every program had {const.HISTORY_TOKENS_MAX:,} tokens at "
        f"the same time, histories alone would take {longest_mb:.0f} MB: {verdict}. "
        "The measured text has a small vocabulary and compresses well; other text "
        "takes more."
    )


def _request_path(measured: Measured) -> str:
    turns_per_s = const.REQUESTS_PER_S / const.NODES
    owner = measured.turn_owner.slope
    standby = max(0.0, measured.turn_both.slope - owner)
    core = turns_per_s * (owner + standby) / 1e6
    bytes_per_s = turns_per_s * measured.turn_bytes.slope
    return (
        f"{turns_per_s:.1f} turns/s per entry as owner and as many as standby: "
        f"{core * 100:.1f} % of a core (owner {owner:.0f} us, standby {standby:.0f} us "
        f"a turn, without HTTP and gRPC) and {_number(bytes_per_s)} bytes/s of "
        "replication. This grows with the requests and not with the fleet; it is "
        "counted as the request path and not as control."
    )


def _sidecar(measured: Measured) -> str:
    beats = SIDECAR_HOME_ENTRIES / HEARTBEAT_INTERVAL_S
    cpu = beats * measured.sidecar_heartbeat.slope / 2
    size = measured.heartbeat_bytes + 2 * const.TRANSPORT_BYTES_PER_MESSAGE
    programs = 2 * const.PROGRAMS / const.WORKERS
    memory_mb = measured.sidecar_idle_mb + programs * measured.held_program.slope / 1e6
    return (
        f"{beats:.0f} heartbeats/s: {_number(beats * size)} bytes/s and "
        f"{cpu / 1e4:.3f} % of a core. {memory_mb:.1f} MB with {programs:.0f} programs "
        "in its table (each program's cache at two engines)."
    )


def _key_value(measured: Measured) -> str:
    watches = const.REGIONS * (WATCHERS_PER_REGION + MAP_WATCH_ENTRIES)
    moves = (const.FAILURES_PER_DAY + const.REPLACEMENTS_PER_DAY) / (
        const.SECONDS_PER_DAY
    )
    rows = [
        ["waiting watches", _number(watches), ""],
        [
            "peak reads/s during a change",
            _number(measured.key_value["reads_per_s_peak"]),
            _number(const.KEY_VALUE_READS_PER_S),
        ],
        [
            "peak writes/s during a change",
            _number(measured.key_value["writes_per_s_peak"]),
            _number(const.KEY_VALUE_WRITES_PER_S),
        ],
        [
            "peak reads/s after an outage",
            _number(measured.key_value_after_outage["reads_per_s_peak"]),
            _number(const.KEY_VALUE_READS_PER_S),
        ],
        [
            "peak writes/s after an outage",
            _number(measured.key_value_after_outage["writes_per_s_peak"]),
            _number(const.KEY_VALUE_WRITES_PER_S),
        ],
        ["membership changes/s (daily mean)", _number(moves), ""],
    ]
    return _table(["figure", "value", "bound"], rows)


def _worst_moments() -> str:
    rows = [
        [
            "all processes reconnect",
            "connections open on first use; heartbeats are timed, not triggered",
            "not measured",
        ],
        [
            "key-value service back after an hour",
            "watchers only read; writers spread over random delays",
            "peaks above, after an outage of 60 s",
        ],
        [
            "zone lost",
            "a third of the shards change hands; standbys are in other zones",
            "docs/faults.md, not at this size",
        ],
        [
            "region split heals",
            "programs stayed in their regions; maps and digests are pulled once",
            "not measured",
        ],
        [
            f"{const.REPLACEMENTS_PER_DAY:,} replacements a day",
            "one map write each; copies move with `copy_shard`",
            "daily mean above",
        ],
    ]
    return _table(["moment", "carried by", "measured"], rows)


def render(measured: Measured) -> str:
    """Return the whole page."""
    processes = const.NODES + const.WORKERS
    duties = entry_duties(measured)
    return f"""# Capacity of the own interface

Written by `script/capacity`; no figure is typed by hand. It works out the size of
docs/design.md ({const.NODES} entries, {const.WORKERS:,} sidecars,
{const.REQUESTS_PER_S:,} requests/s, {const.TOKENS_PER_S / 1e6:.1f} million tokens/s,
{const.PROGRAMS:,} programs, {const.CALLERS} callers, {const.MODELS} models) from slopes
measured on one machine. Lines are fitted by least squares; a figure at the target size
is an extrapolation. Processor times are those of the machine that ran the command.

## Measured slopes

{_slopes_table(measured)}

Configuration figures are per process and change, with 1 % of messages lost and 5 % of
processes dead, in virtual time; their size is the number of processes.

## Entry

State: programs owned and copies, shard maps, directory of sidecars, members,
configuration in force.

### Control

{_duties_table(duties)}

### Memory

{_entry_memory(measured)}

### Request path

{_request_path(measured)}

Tokens travel from sidecar to front only: {const.TOKENS_PER_S / const.NODES:,.0f}
tokens/s per entry. The cost of a token is measured by
`python -m lentilroad.bench.entry`.

## Sidecar

State: queue, running calls with their output, at-most-once records for 10 minutes,
programs that hold cache, highest epoch of each shard, configuration in force.

{_sidecar(measured)}

## Key-value service

{_key_value(measured)}

No call per turn, program or process. One CAS writes all shards that a membership
change moves.

## Configuration

At {processes:,} processes: p99 {measured.change_p99.at(processes):.2f} s from apply to
in force (target 4 s), {measured.change_messages.at(processes):.1f} messages and
{measured.change_bytes.at(processes) / 1000:.1f} kB of payload per process and change.

## Worst moments

{_worst_moments()}

## What breaks first

1. Control traffic: half of it is heartbeats of sidecars, and more than half of those
   bytes are transport headers ({const.TRANSPORT_BYTES_PER_MESSAGE} B assumed each
   way). Sending each heartbeat to one home entry in turn is the next step.
2. Memory, if most histories are near {const.HISTORY_TOKENS_MAX:,} tokens at once.
3. Processor time per token at the entry, see `python -m lentilroad.bench.entry`.
"""
