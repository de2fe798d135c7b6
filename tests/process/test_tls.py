"""Mutual TLS between processes and reload of renewed certificates."""

from __future__ import annotations

import datetime
import ipaddress
import os

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from lentilroad.clock import SystemClock
from lentilroad.connection.peers import PeerConnections
from lentilroad.connection.server import start_server
from lentilroad.errors import ConfigurationError, UnavailableError
from lentilroad.process.tls import TlsFiles, require_tls_or_loopback
from lentilroad.wire.messages import PairHeartbeat
from lentilroad.wire.services import PAIR_HEARTBEAT

HEARTBEAT = PairHeartbeat(sender="a", incarnation=1)


def name(text):
    """Return an X.509 name with the common name `text`."""
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def sign(subject, key, issuer, issuer_key, *, authority):
    """Return a certificate that is valid for a day."""
    now = datetime.datetime.now(datetime.UTC)
    alternatives = x509.SubjectAlternativeName(
        [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
    )
    return (
        x509.CertificateBuilder()
        .subject_name(name(subject))
        .issuer_name(name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.BasicConstraints(ca=authority, path_length=None), True)
        .add_extension(alternatives, False)
        .sign(issuer_key, hashes.SHA256())
    )


class Authority:
    """A certificate authority that writes files to a folder."""

    def __init__(self, folder, subject):
        self.folder = folder
        self.subject = subject
        self.key = ec.generate_private_key(ec.SECP256R1())
        certificate = sign(subject, self.key, subject, self.key, authority=True)
        self.file = folder / f"{subject}.pem"
        self.file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, subject):
        """Write a certificate and its key; return the arguments of `TlsFiles`."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = sign(subject, key, self.subject, self.key, authority=False)
        certificate_file = self.folder / f"{subject}.crt"
        key_file = self.folder / f"{subject}.key"
        certificate_file.write_bytes(
            certificate.public_bytes(serialization.Encoding.PEM)
        )
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return {
            "certificate_file": certificate_file,
            "key_file": key_file,
            "authority_file": self.file,
        }


async def call(server, context):
    """Send one request and return its reply."""
    peers = PeerConnections(clock=SystemClock(), ssl_context=context)
    try:
        return await peers.call(server.address, PAIR_HEARTBEAT, HEARTBEAT, 5.0)
    finally:
        await peers.close()


async def echo(request):
    """Answer with the request."""
    return request


@pytest.fixture
def authority(tmp_path):
    """Return the authority of the deployment."""
    return Authority(tmp_path, "authority")


async def test_only_processes_with_a_certificate_of_the_authority_are_served(
    tmp_path, authority
):
    """Guards against serving a process with a foreign certificate or without one."""
    server_tls = TlsFiles(**authority.issue("entry"))
    foreign_files = Authority(tmp_path, "stranger").issue("other")
    foreign_files["authority_file"] = authority.file
    server = await start_server(
        {PAIR_HEARTBEAT: echo}, "127.0.0.1", 0, server_tls.server
    )
    client_tls = TlsFiles(**authority.issue("sidecar"))
    assert await call(server, client_tls.client) == HEARTBEAT
    for context in (TlsFiles(**foreign_files).client, None):
        with pytest.raises(UnavailableError):
            await call(server, context)
    await server.close()


async def test_renewed_certificate_is_used_for_new_connections(authority):
    """Guards against a renewed certificate that is used only after a restart."""
    files = authority.issue("entry")
    server_tls = TlsFiles(**files)
    server = await start_server(
        {PAIR_HEARTBEAT: echo}, "127.0.0.1", 0, server_tls.server
    )
    assert not server_tls.reload_if_changed()
    authority.issue("entry")
    later_ns = files["certificate_file"].stat().st_mtime_ns + 1_000_000
    os.utime(files["certificate_file"], ns=(later_ns, later_ns))
    assert server_tls.reload_if_changed()
    client_tls = TlsFiles(**authority.issue("sidecar"))
    assert await call(server, client_tls.client) == HEARTBEAT
    await server.close()


def test_connections_without_tls_are_allowed_only_on_loopback():
    """Guards against a process without TLS that serves other instances."""
    require_tls_or_loopback(host="127.0.0.1", tls_files=None)
    with pytest.raises(ConfigurationError, match="certificate_file"):
        require_tls_or_loopback(host="10.0.0.1", tls_files=None)
