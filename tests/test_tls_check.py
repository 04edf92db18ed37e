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
from .program import write
from .rig import endpoint_row
from .tls_partner import TlsPartner, asking, server_context


@pytest.fixture(scope="module")
def pki(tmp_path_factory: pytest.TempPathFactory) -> Authority:
    return Authority(tmp_path_factory.mktemp("pki"))


@pytest.fixture
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    """Run an event loop for partners in a thread, as the command blocks."""
    made = asyncio.new_event_loop()
    thread = threading.Thread(target=made.run_forever, daemon=True)
    thread.start()
    yield made
    made.call_soon_threadsafe(made.stop)
    thread.join(10)


def check(*words: str) -> Result:
    return CliRunner().invoke(main, ["tls", "check", *words])


def start(loop: asyncio.AbstractEventLoop, context: Any) -> TlsPartner:
    return asyncio.run_coroutine_threadsafe(TlsPartner(context).start(), loop).result(10)


def test_files_alone(pki: Authority, tmp_path: Path) -> None:
    own = pki.issue(("us.example",), end=20)
    file = tmp_path / "operator.toml"
    file.write_text(
        f'[[tls.partner]]\nkind = "any"\nca = "{pki.file}"\n'
        f'certificate = "{own.cert_file}"\nkey = "{own.key_file}"\n'
    )
    good = check("--operator", str(file))
    assert good.exit_code == 0, good.output
    assert "kind:any files: good" in good.output
    assert "us.example" in good.output
    assert "warning" not in good.output
    warned = check("--operator", str(file), "--warn-days", "30")
    assert warned.exit_code == 0
    assert "warning: CN=us.example ends in" in warned.output
    own.key_file.chmod(0o644)
    refused = check("--operator", str(file))
    assert refused.exit_code == 1
    assert "tls.partner.0.key: others can read" in refused.output
    file.write_text("")
    assert check("--operator", str(file)).exit_code == 1
    stale = pki.crl(end=-1, file="stale.pem")
    file.write_text(f'[[tls.partner]]\nkind = "any"\nca = "{pki.file}"\ncrl = "{stale}"\n')
    old = check("--operator", str(file))
    assert old.exit_code == 1
    assert "crl-unusable" in old.output


@pytest.mark.parametrize("version", ["1.2", "1.3"])
def test_connecting_to_known_members(
    pki: Authority, tmp_path: Path, loop: asyncio.AbstractEventLoop, version: str
) -> None:
    good = start(loop, server_context(pki.issue(), version, version))
    bad = start(loop, server_context(pki.issue(("other.example",))))
    picky = start(loop, asking(server_context(pki.issue(), version, version), pki.file))
    members = []
    for i, partner in enumerate((good, bad, picky), 1):
        members.append({**endpoint_row(f"p{i}", i), "host_port": f"127.0.0.1:{partner.port}"})
    text = "".join(
        f'[[tls.partner]]\ndest = {i}\nca = "{pki.file}"\nserver-name = "localhost"\n' for i in (1, 2, 3)
    )
    config, operator = write(tmp_path, 6379, 8500, members, text)
    words = ["--operator", str(operator), "--config", config, "--connect"]
    told = check(*words, "--json")
    assert told.exit_code == 1, told.output
    seen = {one["partner"]: one for one in json.loads(told.output) if "address" in one}
    assert seen["dest:1"]["failure"] == ""
    assert seen["dest:1"]["version"] == f"TLSv{version}"
    assert seen["dest:1"]["resumes"]
    assert seen["dest:1"]["cipher"]
    assert [one["subject"] for one in seen["dest:1"]["chain"]] == ["CN=localhost", "CN=Test CA"]
    assert seen["dest:1"]["chain"][0]["names"] == ["localhost", "127.0.0.1"]
    assert 29 < seen["dest:1"]["chain"][0]["days_left"] <= 30
    assert seen["dest:2"]["failure"] == "wrong-name"
    late = "our-certificate-refused" if version == "1.3" else "handshake-refused"
    assert seen["dest:3"]["failure"] == late
    text = check(*words).output
    assert "FAILED wrong-name" in text
    assert "resumes" in text
    assert check("--operator", str(operator), "--connect").exit_code == 1, "nobody to connect to"
    named = check("--operator", str(operator), "--connect", "--address", f"127.0.0.1:{good.port}")
    assert named.exit_code == 0
    assert named.output.count(": good") == 6
