"""Mutual TLS between processes, with reload of certificates."""

from __future__ import annotations

import ipaddress
import ssl
from pathlib import Path

import eliot

from lentilroad.clock import Clock
from lentilroad.errors import ConfigurationError
from lentilroad.process.settings import Settings

RELOAD_INTERVAL_S = 10.0


def is_loopback(host: str) -> bool:
    """Return whether a host is a loopback address."""
    if host == "localhost":
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


class TlsFiles:
    """Certificate files of one process and the TLS contexts that use them.

    Parameters
    ----------
    certificate_file, key_file, authority_file : Path
        PEM files: own certificate chain, its key, and the certificates of the
        authority that signed the other processes' certificates.
    """

    __slots__ = ("_certificate_file", "_key_file", "_mtime_ns", "client", "server")

    def __init__(
        self, *, certificate_file: Path, key_file: Path, authority_file: Path
    ) -> None:
        self._certificate_file = certificate_file
        self._key_file = key_file
        self._mtime_ns = 0
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.server.verify_mode = ssl.CERT_REQUIRED
        self.client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        # Peers are addressed by IP and authenticated by the authority's signature.
        self.client.check_hostname = False
        for context in (self.server, self.client):
            context.minimum_version = ssl.TLSVersion.TLSv1_3
            context.set_alpn_protocols(["h2"])
            context.load_verify_locations(cafile=str(authority_file))
        self.reload_if_changed()

    def reload_if_changed(self) -> bool:
        """Reload the certificate if its file has changed.

        Returns
        -------
        bool
            Whether a certificate was loaded, which new connections use.
        """
        mtime_ns = self._certificate_file.stat().st_mtime_ns
        if mtime_ns == self._mtime_ns:
            return False
        for context in (self.server, self.client):
            context.load_cert_chain(str(self._certificate_file), str(self._key_file))
        self._mtime_ns = mtime_ns
        return True

    async def watch(self, *, clock: Clock) -> None:
        """Reload the certificate whenever its file changes."""
        while True:
            await clock.sleep(RELOAD_INTERVAL_S)
            try:
                if self.reload_if_changed():
                    eliot.log_message(message_type="tls:reloaded")
            except (OSError, ssl.SSLError) as error:
                # The old certificate stays in use until a valid one can be loaded.
                eliot.log_message(message_type="tls:reload_failed", reason=str(error))


def tls_files(settings: Settings) -> TlsFiles | None:
    """Return the TLS files from the settings; None if TLS is off."""
    if settings.tls is None:
        return None
    return TlsFiles(
        certificate_file=settings.tls.certificate_file,
        key_file=settings.tls.key_file,
        authority_file=settings.tls.ca_file,
    )


def require_tls_or_loopback(*, host: str, tls_files: TlsFiles | None) -> None:
    """Check that a process without TLS serves only a loopback address.

    Raises
    ------
    ConfigurationError
        TLS is off and the host is not a loopback address.
    """
    if tls_files is not None or is_loopback(host):
        return
    raise ConfigurationError(
        f"TLS is off but {host} is not a loopback address; set tls.certificate_file, "
        "tls.key_file and tls.ca_file"
    )
