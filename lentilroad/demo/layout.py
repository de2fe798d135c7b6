"""Processes of one deployment and their settings."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from lentilroad.demo.const import (
    HTTP_PORT,
    KEY_VALUE_PORT,
    OPERATOR_KEY,
    PEER_PORT,
    UPSTREAM_PORT,
)
from lentilroad.version.model import Configuration


@dataclass(slots=True, kw_only=True)
class Instance:
    """One process on its own loopback address."""

    name: str
    host: str
    arguments: list[str]
    region: str = ""
    kind: str = ""
    settings_file: Path | None = None

    @property
    def peer_address(self) -> str:
        """Address for other lentilroad processes."""
        return f"{self.host}:{PEER_PORT}"

    @property
    def http_url(self) -> str:
        """Base URL of callers' and health routes."""
        return f"http://{self.host}:{HTTP_PORT}"

    @property
    def upstream_url(self) -> str:
        """Base URL of a stand-in upstream."""
        return f"http://{self.host}:{UPSTREAM_PORT}"


@dataclass(slots=True, kw_only=True)
class Layout:
    """All processes of one deployment."""

    key_value: Instance
    entries: list[Instance] = field(default_factory=list)
    upstreams: list[Instance] = field(default_factory=list)
    sidecars: list[Instance] = field(default_factory=list)

    def all(self) -> list[Instance]:
        """Return all processes in the order of their start."""
        return [self.key_value, *self.upstreams, *self.entries, *self.sidecars]


def _replicas(
    configuration: Configuration,
) -> Iterator[tuple[str, str, str, str]]:
    """Yield kind, name, region and availability zone of every replica."""
    groups = (("engine", configuration.models), ("service", configuration.services))
    for kind, group in groups:
        for name, value in group.items():
            for region, zones in value.replicas.items():
                for zone, count in zones.items():
                    for _ in range(count):
                        yield kind, name, region, zone


class _Builder:
    """Hand out loopback addresses and write settings files."""

    def __init__(self, *, folder: Path, subnet: str) -> None:
        self._folder = folder
        self._subnet = subnet
        self._next = 1

    def host(self) -> str:
        self._next += 1
        return f"{self._subnet}.{self._next}"

    def settings(self, name: str, content: dict[str, Any]) -> Path:
        path = self._folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(content), encoding="utf-8")
        return path

    def log_file(self, name: str) -> str:
        return f"{name}.log.jsonl"


def build_layout(*, configuration: Configuration, folder: Path, subnet: str) -> Layout:
    """Lay a deployment out and write the settings of its processes.

    Parameters
    ----------
    configuration : Configuration
        Regions, availability zones and replicas.
    folder : Path
        Receives settings and log files.
    subnet : str
        First three numbers of the loopback addresses, "127.x.y".

    Returns
    -------
    Layout
        One entry for each availability zone, one stand-in and one sidecar for each
        replica, and the key-value stand-in.
    """
    builder = _Builder(folder=folder, subnet=subnet)
    host = builder.host()
    layout = Layout(
        key_value=Instance(
            name="key-value",
            host=host,
            arguments=["standin", "key-value", "--listen", f"{host}:{KEY_VALUE_PORT}"],
            kind="key-value",
        )
    )
    places = [
        (region, zone)
        for region, value in configuration.regions.items()
        for zone in value.availability_zones
    ]
    hosts = {place: builder.host() for place in places}
    seeds = [f"{hosts[place]}:{PEER_PORT}" for place in places]
    for place in places:
        layout.entries.append(_entry(builder, layout, place, hosts[place], seeds))
    for number, (kind, name, region, zone) in enumerate(_replicas(configuration)):
        _add_upstream(
            builder, layout, configuration, kind, f"{name}-{number}", name, region, zone
        )
    return layout


def _entry(
    builder: _Builder,
    layout: Layout,
    place: tuple[str, str],
    host: str,
    seeds: list[str],
) -> Instance:
    region, zone = place
    name = f"entry-{zone}"
    own = f"{host}:{PEER_PORT}"
    settings = builder.settings(
        name,
        {
            "role": "entry",
            "address": own,
            "http_address": f"{host}:{HTTP_PORT}",
            "region": region,
            "availability_zone": zone,
            "key_value": {
                "endpoints": [f"http://{layout.key_value.host}:{KEY_VALUE_PORT}"]
            },
            "seed_entries": [seed for seed in seeds if seed != own],
            "operator_key_sha256": [hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()],
            "observability": {"log_file": builder.log_file(name)},
        },
    )
    return Instance(
        name=name,
        host=host,
        arguments=["entry", "--settings", str(settings)],
        region=region,
        kind="entry",
        settings_file=settings,
    )


def _add_upstream(
    builder: _Builder,
    layout: Layout,
    configuration: Configuration,
    kind: str,
    upstream_id: str,
    name: str,
    region: str,
    zone: str,
) -> None:
    host = builder.host()
    upstream = Instance(
        name=upstream_id,
        host=host,
        arguments=["standin", kind, "--listen", f"{host}:{UPSTREAM_PORT}"],
        region=region,
        kind=kind,
    )
    names = [name]
    if kind == "engine":
        names += [
            adapter
            for adapter, value in configuration.adapters.items()
            if value.model == name
        ]
    settings = builder.settings(
        f"sidecar-{upstream_id}",
        {
            "role": "sidecar",
            "address": f"{host}:{PEER_PORT}",
            "http_address": f"{host}:{HTTP_PORT}",
            "region": region,
            "availability_zone": zone,
            "seed_entries": [
                entry.peer_address for entry in layout.entries if entry.region == region
            ],
            "upstream": {
                "url": upstream.upstream_url,
                "kind": kind,
                "upstream_id": upstream_id,
                "names": names,
            },
            "observability": {"log_file": builder.log_file(f"sidecar-{upstream_id}")},
        },
    )
    layout.upstreams.append(upstream)
    layout.sidecars.append(
        Instance(
            name=f"sidecar-{upstream_id}",
            host=host,
            arguments=["sidecar", "--settings", str(settings)],
            region=region,
            kind="sidecar",
            settings_file=settings,
        )
    )
