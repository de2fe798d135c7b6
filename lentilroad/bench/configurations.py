"""Operators' configurations of a chosen size."""

from __future__ import annotations

import hashlib


def sized_text(*, models: int = 13, callers: int = 260, revision: int = 1) -> str:
    """Return a valid configuration.

    Parameters
    ----------
    models, callers : int
        Number of entries.
    revision : int
        Changes the request limit of one caller.
    """
    lines = ["deployment: bench", "limits:", "  requests_per_s: 1000000", "regions:"]
    for region in range(3):
        lines += [f"  region-{region}:", "    availability_zones:"]
        for zone in range(3):
            workers = "{engine_workers: 430, service_workers: 100}"
            lines.append(f"      zone-{region}-{zone}: {workers}")
    lines.append("models:")
    for model in range(models):
        lines += [
            f"  model-{model}:",
            '    version: "1"',
            "    context_tokens: 180000",
            "    calls_per_replica: 32",
            "    replicas:",
        ]
        for region in range(3):
            zones = ", ".join(f"zone-{region}-{zone}: 33" for zone in range(3))
            lines.append(f"      region-{region}: {{{zones}}}")
    lines.append("callers:")
    for caller in range(callers):
        rate = 100 + (revision if caller == revision % callers else 0)
        digest = hashlib.sha256(f"caller-{caller}".encode()).hexdigest()
        lines += [
            f"  caller-{caller}:",
            f"    key_sha256: ['{digest}']",
            f"    models: [model-{caller % models}]",
            f"    limits: {{requests_per_s: {rate}, concurrent_programs: 2000}}",
            "    budget: {tokens: 400000, turns: 110}",
        ]
    return "\n".join(lines) + "\n"
