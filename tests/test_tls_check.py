"""`honeyhitch tls check`: its output for files and for partners, and its exit code."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from honeyhitch.cli.main import main

from .authority import Authority
from .program import write_config_files
from .rig import endpoint_row
from .tls_partner import TlsPartner, require_client_certificate, server_context


@pytest.fixture(scope="module")
def pki(tmp_path_factory: pytest.TempPathFactory) -> Authority:
    return Authority(tmp_path_factory.mktemp("pki"))


@pytest.fixture
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    """Run an event loop for partners in a thread, as the command blocks."""
    event_loop = asyncio.new_event_loop()
    thread = threading.Thread(target=event_loop.run_forever, daemon=True)
    thread.start()
    yield event_loop
    event_loop.call_soon_threadsafe(event_loop.stop)
    thread.join(10)


def run_check(*arguments: str) -> Result:
    return CliRunner().invoke(main, ["tls", "check", *arguments])


def start_partner(loop: asyncio.AbstractEventLoop, context: Any) -> TlsPartner:
    return asyncio.run_coroutine_threadsafe(TlsPartner(context).start(), loop).result(10)


def test_files_alone(pki: Authority, tmp_path: Path) -> None:
    own = pki.issue(("us.example",), end=20)
    file = tmp_path / "operator.toml"
    file.write_text(
        f'[[tls.partner]]\nkind = "any"\nca = "{pki.file}"\n'
        f'certificate = "{own.cert_file}"\nkey = "{own.key_file}"\n'
    )
    valid = run_check("--operator", str(file))
    assert valid.exit_code == 0, valid.output
    assert "kind:any files: good" in valid.output
    assert "us.example" in valid.output
    assert "warning" not in valid.output
    warned = run_check("--operator", str(file), "--warn-days", "30")
    assert warned.exit_code == 0
    assert "warning: CN=us.example ends in" in warned.output
    own.key_file.chmod(0o644)
    rejected = run_check("--operator", str(file))
    assert rejected.exit_code == 1
    assert "tls.partner.0.key: others can read" in rejected.output
    file.write_text("")
    assert run_check("--operator", str(file)).exit_code == 1
    stale = pki.crl(end=-1, file="stale.pem")
    file.write_text(f'[[tls.partner]]\nkind = "any"\nca = "{pki.file}"\ncrl = "{stale}"\n')
    unusable_crl = run_check("--operator", str(file))
    assert unusable_crl.exit_code == 1
    assert "crl-unusable" in unusable_crl.output


@pytest.mark.parametrize("version", ["1.2", "1.3"])
def test_connecting_to_known_endpoints(
    pki: Authority, tmp_path: Path, loop: asyncio.AbstractEventLoop, version: str
) -> None:
    good = start_partner(loop, server_context(pki.issue(), version, version))
    bad = start_partner(loop, server_context(pki.issue(("other.example",))))
    requires_certificate = start_partner(
        loop, require_client_certificate(server_context(pki.issue(), version, version), pki.file)
    )
    endpoints = []
    for i, partner in enumerate((good, bad, requires_certificate), 1):
        endpoints.append({**endpoint_row(f"p{i}", i), "host_port": f"127.0.0.1:{partner.port}"})
    text = "".join(
        f'[[tls.partner]]\ndest = {i}\nca = "{pki.file}"\nserver-name = "localhost"\n' for i in (1, 2, 3)
    )
    config, operator = write_config_files(tmp_path, 6379, 8500, endpoints, text)
    arguments = ["--operator", str(operator), "--config", config, "--connect"]
    result = run_check(*arguments, "--json")
    assert result.exit_code == 1, result.output
    reports = {report["partner"]: report for report in json.loads(result.output) if "address" in report}
    assert reports["dest:1"]["failure"] == ""
    assert reports["dest:1"]["version"] == f"TLSv{version}"
    assert reports["dest:1"]["resumes"]
    assert reports["dest:1"]["cipher"]
    assert [certificate["subject"] for certificate in reports["dest:1"]["chain"]] == [
        "CN=localhost",
        "CN=Test CA",
    ]
    assert reports["dest:1"]["chain"][0]["names"] == ["localhost", "127.0.0.1"]
    assert 29 < reports["dest:1"]["chain"][0]["days_left"] <= 30
    assert reports["dest:2"]["failure"] == "wrong-name"
    expected_failure = "our-certificate-refused" if version == "1.3" else "handshake-refused"
    assert reports["dest:3"]["failure"] == expected_failure
    output = run_check(*arguments).output
    assert "FAILED wrong-name" in output
    assert "resumes" in output
    assert run_check("--operator", str(operator), "--connect").exit_code == 1, "no endpoint to connect to"
    address_result = run_check(
        "--operator", str(operator), "--connect", "--address", f"127.0.0.1:{good.port}"
    )
    assert address_result.exit_code == 0
    assert address_result.output.count(": good") == 6
