"""Settings file of a process in the platform's format."""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lentilroad.errors import ConfigurationError
from lentilroad.membership.quota_bounds import QuotaBounds

SETTINGS_VARIABLE = "LENTILROAD_BOOT"
# Used where the settings state no limit; Linux has the same default.
DEFAULT_FILE_DESCRIPTORS = 1024


@dataclass(slots=True, kw_only=True, frozen=True)
class TimeBounds:
    """Time limits that the operator sets for this deployment.

    Attributes
    ----------
    revoke_s : float or None
        Age of the configuration from which an entry accepts no keys, because a newer
        version may have taken them away; None for no limit.
    quotas : QuotaBounds or None
        Allowed excess over customers' quotas; None if quotas are not enforced.
    """

    drain_s: float
    stop_grace_s: float
    configuration_apply_s: float
    catch_up_s: float
    event_pass_s: float
    revoke_s: float | None = None
    quotas: QuotaBounds | None = None


@dataclass(slots=True, kw_only=True, frozen=True)
class ProcessSettings:
    """Settings of one process.

    Attributes
    ----------
    node : str
        Name of the instance.
    data_folder : Path or None
        Folder on the instance's disk; None on instances without one.
    first_start : bool
        Whether the whole deployment starts for the first time, with empty disks.
    losses_tolerated : int
        Number of instances with disks whose simultaneous loss loses no data.
    has_customers : bool
        Whether customers may compete for the upstreams of this deployment.
    """

    node: str
    ip: str
    availability_zone: str
    region: str
    zone_regions: dict[str, str]
    client_address: str | None
    readiness_address: str | None
    peer_port: int
    metrics_port: int
    metadata_address: str
    data_folder: Path | None
    first_start: bool
    losses_tolerated: int
    has_customers: bool
    memory_mb: int
    file_descriptors: int
    disk_mb: int
    cpu_cores: float
    bounds: TimeBounds


def settings_path(
    environment: dict[str, str], variable: str, option: str | None
) -> Path:
    """Return the path of the settings file.

    Raises
    ------
    ConfigurationError
        Neither the option nor the environment variable gives a path.
    """
    path = option or environment.get(variable)
    if not path:
        raise ConfigurationError(
            f"no settings file is given; set {variable} or --settings to its path"
        )
    return Path(path)


def read_settings(path: Path) -> ProcessSettings:
    """Read the settings file.

    Parameters
    ----------
    path : Path
        File in the platform's format, TOML.

    Returns
    -------
    ProcessSettings
        Settings with checked types.

    Raises
    ------
    ConfigurationError
        The file cannot be read, or a key is missing or has another type.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(
            f"cannot read the settings file {path} ({error}); it must be valid TOML"
        ) from error
    return decode_settings(document)


def decode_settings(document: dict[str, Any]) -> ProcessSettings:
    """Decode a parsed settings file; raises `ConfigurationError`."""
    ports = _value(document, "InternalPortRange", list)
    if len(ports) != 2 or not all(type(port) is int for port in ports):
        raise _invalid_setting(
            "InternalPortRange", ports, "two port numbers, first and last"
        )
    bounds = _value(document, "Bounds", dict)
    limits = _value(document, "Limits", dict)
    listen = document.get("ListenAddresses", {})
    folder = document.get("DataDirectory")
    return ProcessSettings(
        node=_value(document, "NodeName", str),
        ip=_value(document, "IpAddress", str),
        availability_zone=_value(document, "Zone", str),
        region=_value(document, "Region", str),
        zone_regions=dict(_value(document, "Zones", dict)),
        client_address=listen.get("Frontend"),
        readiness_address=listen.get("Ready"),
        peer_port=ports[0],
        # Two processes may share an instance and its port range. The last port of the
        # range does not collide with the peer port, which is the first.
        metrics_port=ports[1],
        metadata_address=_value(document, "Platform.Address", str),
        data_folder=Path(folder) if folder else None,
        first_start=bool(document.get("Bootstrap", False)),
        losses_tolerated=int(_number(document, "FaultTolerance.Machines")),
        has_customers="tenants" in document.get("Contracts", ["tenants"]),
        memory_mb=int(_number({"Limits": limits}, "Limits.MemoryMb")),
        file_descriptors=int(
            _number(
                {"Limits": {"FileDescriptors": DEFAULT_FILE_DESCRIPTORS, **limits}},
                "Limits.FileDescriptors",
            )
        ),
        disk_mb=int(_number({"Limits": limits}, "Limits.DiskMb")),
        cpu_cores=float(limits.get("CpuShare", 1.0)),
        bounds=TimeBounds(
            drain_s=_number({"Bounds": bounds}, "Bounds.DrainMs") / 1000,
            stop_grace_s=_number({"Bounds": bounds}, "Bounds.GracePeriodS"),
            configuration_apply_s=_number({"Bounds": bounds}, "Bounds.ConfigApplyMs")
            / 1000,
            catch_up_s=_number({"Bounds": bounds}, "Bounds.CatchUpS"),
            event_pass_s=_number({"Bounds": bounds}, "Bounds.PassMs") / 1000,
            revoke_s=_revoke_s(bounds),
            quotas=_quota_bounds(bounds),
        ),
    )


def _revoke_s(bounds: dict[str, Any]) -> float | None:
    """Return the longest age of a configuration whose keys are accepted, or None."""
    if "RevokeWhenPartitioned" not in bounds:
        return None
    if not _value({"Bounds": bounds}, "Bounds.RevokeWhenPartitioned", bool):
        return None
    return _number({"Bounds": bounds}, "Bounds.RevokeMs") / 1000


def _quota_bounds(bounds: dict[str, Any]) -> QuotaBounds | None:
    """Return the allowed excess over quotas; None without a window or with 0."""
    values = {
        key: _number({"Bounds": bounds}, f"Bounds.{key}") if key in bounds else 0.0
        for key in ("QuotaWindowS", "QuotaOverage", "QuotaSlack")
    }
    for key, value in values.items():
        if not math.isfinite(value) or value < 0.0:
            raise _invalid_setting(f"Bounds.{key}", value, "a number from 0 on")
    if values["QuotaWindowS"] == 0.0:
        return None
    return QuotaBounds(
        window_s=values["QuotaWindowS"],
        overage=values["QuotaOverage"],
        slack=values["QuotaSlack"],
    )


def _find(document: dict[str, Any], path: str) -> Any:
    found: Any = document
    for key in path.split("."):
        if not isinstance(found, dict) or key not in found:
            raise ConfigurationError(f"{path} is missing; add it to the settings file")
        found = found[key]
    return found


def _value(document: dict[str, Any], path: str, expected: type) -> Any:
    found = _find(document, path)
    if not isinstance(found, expected):
        raise _invalid_setting(path, found, f"a value of type {expected.__name__}")
    return found


def _number(document: dict[str, Any], path: str) -> float:
    found = _find(document, path)
    if isinstance(found, bool) or not isinstance(found, (int, float)):
        raise _invalid_setting(path, found, "a number")
    return float(found)


def _invalid_setting(path: str, found: object, expected: str) -> ConfigurationError:
    return ConfigurationError(f"{path} is {found!r}; write {expected}")
