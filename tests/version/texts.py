"""Configuration texts for tests."""

from __future__ import annotations

from importlib import resources


def example_text(name):
    """Return the text of an example that is shipped with the package."""
    folder = resources.files("lentilroad") / "examples"
    return (folder / f"{name}.yaml").read_text(encoding="utf-8")


def deployment_text(*, callers=3, marker=1):
    """Return a valid configuration with `callers` callers and `marker` as budget."""
    lines = [
        "deployment: test",
        "budget:",
        f"  turns: {marker}",
        "regions:",
        "  north:",
        "    availability_zones:",
        "      north-a: {engine_workers: 2, service_workers: 2}",
        "models:",
        "  coach:",
        '    version: "1"',
        "    context_tokens: 8192",
        "    replicas: {north: {north-a: 2}}",
        "callers:",
    ]
    for index in range(callers):
        lines += [f"  caller-{index}:", f"    key_sha256: ['{index:064x}']"]
    return "\n".join(lines) + "\n"
