"""A `serve` without features imports no module that it does not use, since hundreds may start at once."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest
from click.testing import CliRunner

from honeyhitch.cli.main import COMMAND_MODULES, main

PRINT_LOADED_MODULES = "import json, sys; import honeyhitch.cli.main, honeyhitch.service.run; "
PRINT_LOADED_MODULES += "print(json.dumps(sorted(sys.modules)))"


@pytest.fixture(scope="module")
def loaded() -> set[str]:
    result = subprocess.run(
        [sys.executable, "-c", PRINT_LOADED_MODULES], capture_output=True, check=True, timeout=60
    )
    return set(json.loads(result.stdout))


@pytest.mark.parametrize(
    "name",
    [
        "cryptography",
        "blake3",
        "jinja2",
        "tabulate",
        "zstandard",
        "sqlite3",
        "http.client",
        "honeyhitch.tls.machine",
        "honeyhitch.dead_letters.store",
        "honeyhitch.protocols.mqtt",
        "honeyhitch.protocols.mqtt_packets",
        "honeyhitch.service.fleet",
        "honeyhitch.service.features.control",
        "honeyhitch.service.features.dead_letters",
        "honeyhitch.service.features.fleet",
        "honeyhitch.service.features.mqtt",
        "honeyhitch.service.features.tls",
        "honeyhitch.transports.peers",
        "honeyhitch.transports.mqtt_transport",
        "honeyhitch.transports.control",
        *COMMAND_MODULES.values(),
    ],
)
def test_a_plain_start_does_not_load(loaded: set[str], name: str) -> None:
    assert "honeyhitch.dispatcher.dispatcher" in loaded
    assert name not in loaded


@pytest.mark.parametrize("name", sorted(COMMAND_MODULES))
def test_each_command_group_is_listed_and_loaded_on_use(name: str) -> None:
    assert name in CliRunner().invoke(main, ["--help"]).output
    result = CliRunner().invoke(main, [name, "--help"])
    assert result.exit_code == 0
    assert "Commands:" in result.output or "--json" in result.output
