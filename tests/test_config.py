"""Configuration: both forms give the same settings, defaults apply, and errors name the faulty key."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from honeyhitch import config
from honeyhitch.cli.main import main
from honeyhitch.policy.settings import Settings

from .program import SETTINGS, write_config_files

ROOT = Path(__file__).parent.parent


def settings_with(path: str, value: object) -> dict[str, Any]:
    """Return the settings with the value at `path` changed, or removed if the new value is None."""
    settings: Any = json.loads(json.dumps(SETTINGS))
    *parents, key = path.split(".")
    parent = settings
    for name in parents:
        parent = parent[int(name) if name.isdigit() else name]
    parent[key] = value
    if value is None:
        del parent[key]
    return dict(settings)


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        ("family-info.call-slots", None, "settings.family-info.call-slots: this setting is missing"),
        ("family-info.call-slots", "many", "settings.family-info.call-slots: expected a whole number"),
        ("classes.0.semantics", "odd", "settings.classes.0.semantics: expected one of pure, token"),
        ("classes.0.aim", 0, "settings.classes.aim: must be above 0"),
        ("invariants.cold-share", 7, "settings.cold_share: must be above 0 and at most 1"),
        ("caps.max-open", 0, "settings.caps.max-open: must be at least 1"),
    ],
)
def test_a_faulty_setting_is_named(tmp_path: Path, path: str, value: object, message: str) -> None:
    file = Path(write_config_files(tmp_path, 6379, 8500, [])[0])
    file.write_text(json.dumps({**json.loads(file.read_text()), "settings": settings_with(path, value)}))
    with pytest.raises(config.ConfigError) as error:
        config.read({}, str(file))
    assert str(error.value).startswith(message)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"listen": "nowhere"}, "listen: expected HOST:PORT"),
        ({"listen": "127.0.0.1:99999"}, "listen: expected HOST:PORT"),
        ({"state": ""}, "state: missing; give it in the file or as ROUTER_STATE"),
        ({"seed": "xyz"}, "seed: expected a number"),
        ({"limits": {"disk_mb": 0}}, "limits.disk_mb: expected a number above 0"),
        ({"settings": []}, "settings: expected an object"),
        ({"known": 3}, "known: expected an object"),
    ],
)
def test_a_faulty_key_is_named(tmp_path: Path, change: dict[str, Any], message: str) -> None:
    file = Path(write_config_files(tmp_path, 6379, 8500, [])[0])
    file.write_text(json.dumps({**json.loads(file.read_text()), **change}))
    with pytest.raises(config.ConfigError) as error:
        config.read({}, str(file))
    assert str(error.value).startswith(message)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[mqtt]", "mqtt.broker: missing"),
        ("[mqtt]\nbroker = 3", "mqtt.broker: expected str"),
        ('[mqtt]\nbroker = "b:1"\nkeep-alive = 0', "mqtt.keep-alive: expected at least 1"),
        ('[mqtt]\nbroker = "b:1"\nretain = true', "mqtt.retain: no such key"),
        (
            '[mqtt]\nbroker = "b:1"\n[[mqtt.member]]\nid = "a"\ndest = 1\ntopic = "a/#"',
            "mqtt.member.0.topic:",
        ),
        (
            '[mqtt]\nbroker = "b:1"\n[[mqtt.member]]\nid = "a"\ndest = 1\ntopic = "a"\nkind = "x"',
            "mqtt.member.0.kind:",
        ),
        ('[beside]\nhealth = "x"', "beside.health: expected HOST:PORT"),
        ("[beside", "ROUTER_OPERATOR:"),
        ('[log]\nformat = "xml"', "log.format: expected one of console, json"),
        ('[log]\nlevel = "loud"', "log.level: expected one of debug"),
        ("[log]\ncolour = true", "log.colour: no such key"),
    ],
)
def test_a_faulty_operators_file_is_named(tmp_path: Path, text: str, message: str) -> None:
    with pytest.raises(config.ConfigError) as error:
        config.read({}, *write_config_files(tmp_path, 6379, 8500, [], text))
    assert str(error.value).startswith(message)


def test_both_forms_give_the_same_settings() -> None:
    nested = config.SettingsReader.from_nested(SETTINGS)
    pairs = [f"{path}={value}" for path, value in nested.values.items()]
    settings = nested.settings()
    assert config.SettingsReader.from_pairs(pairs).settings() == settings
    assert (settings.max_messages, settings.kinds[0].max_messages_per_call, settings.kinds[1].name) == (
        50,
        20,
        "small",
    )
    assert settings.tenant_names == ("studio",)
    assert settings.report_fields == ("x0", "x1")


def test_variables_take_precedence_over_the_file_and_the_shipped_files_are_valid() -> None:
    example = str(ROOT / "example" / "config.json")
    loaded = config.read({"ROUTER_LISTEN": "127.0.0.2:7", "ROUTER_STATE": "elsewhere"}, example)
    assert (str(loaded.listen), str(loaded.state)) == ("127.0.0.2:7", "elsewhere")
    assert loaded.operator.mqtt is None, "mqtt is off by default"
    assert loaded.operator.health is None, "health is off by default"
    operator_file = (ROOT / "deploy" / "mqtt.toml").read_text()
    operator_settings = config.read_operator(
        str(ROOT / "deploy" / "mqtt.toml"), "n", _with_kind(loaded, "small-partner"), {}
    )
    assert operator_settings.mqtt is not None
    assert "print-shop" in operator_file
    assert operator_settings.mqtt.endpoints[0].destination == 7


def test_the_shipped_tls_file_is_valid() -> None:
    loaded = config.read({}, str(ROOT / "example" / "config.json"))
    tls = config.read_operator(str(ROOT / "deploy" / "tls.toml"), "n", _with_kind(loaded, "partner"), {}).tls
    assert tls is not None
    assert tls.partners[0].terms.handshakes == 6


def test_on_a_reload_a_value_changed_in_the_file_takes_precedence_over_a_variable(tmp_path: Path) -> None:
    environ = {"ROUTER_DISCOVERY": "127.0.0.1:1"}
    path = write_config_files(tmp_path, 6379, 8500, [])
    first = config.read(environ, *path)
    assert str(first.discovery) == "127.0.0.1:1"
    assert str(config.read(environ, *path, first).discovery) == "127.0.0.1:1", "the file is unchanged"
    write_config_files(tmp_path, 6379, 8600, [])
    second = config.read(environ, *path, first)
    assert str(second.discovery) == "127.0.0.1:8600"
    assert config.read(environ, *path, second) == second, "reloading an unchanged file changes nothing"


def _with_kind(loaded: config.Config, kind: str) -> Settings:
    """Return the settings with a single kind of destination, which has this name."""
    kinds = (dataclasses.replace(loaded.settings.kinds[0], name=kind),)
    return dataclasses.replace(loaded.settings, kinds=kinds)


def test_the_commands_version_check_and_send() -> None:
    runner = CliRunner()
    assert runner.invoke(main, ["version"]).output.strip().count(".") == 2
    checked = runner.invoke(main, ["check", "--config", str(ROOT / "example" / "config.json")])
    assert checked.exit_code == 0
    assert "listens on 127.0.0.1:6379" in checked.output
    unreadable = runner.invoke(main, ["check", "--config", "absent.json"])
    assert unreadable.exit_code == 2
    assert "ROUTER_CONFIG: cannot read absent.json" in unreadable.output
    unreachable = runner.invoke(main, ["send", "127.0.0.1:1", "--dest", "1", "hi"])
    assert unreachable.exit_code == 1
    assert unreachable.output.startswith("Error: ")


FLEET_TABLE = {"view": "127.0.0.1:8600", "zone": "a"}
RESERVE_LEASE: dict[str, Any] = {"reserve-lease": 1}  # shorter than `lease`


def fleet_file(regions: str = 'east = ["a", "b"]', **changes: Any) -> str:
    """Return an operator's file with `[fleet]`; keys whose value is None are left out."""
    values = {**FLEET_TABLE, **changes}
    lines = [f"{key} = {json.dumps(value)}" for key, value in values.items() if value is not None]
    return "\n".join(["[fleet]", *lines, "[fleet.regions]", regions])


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (fleet_file(view=None), "fleet.view: missing"),
        (fleet_file(view="nowhere"), "fleet.view: expected HOST:PORT"),
        (fleet_file(zone="z"), "fleet.zone: not a zone of any region: 'z'"),
        (fleet_file(regions=""), "fleet.regions: at least one zone is needed"),
        (fleet_file(regions="east = []"), "fleet.regions.east: expected a list"),
        (fleet_file(regions='east = ["a"]\nwest = ["a"]'), "fleet.regions: a zone is named twice"),
        (fleet_file(partitions=0), "fleet.partitions: expected 1 to"),
        (fleet_file(reserve=2), "fleet.reserve: expected 0 to 1"),
        (fleet_file(lease=0.5), "fleet.lease: must be more than four times"),
        (fleet_file(lease=-1), "fleet.lease: expected 0 to"),
        (fleet_file(**RESERVE_LEASE), "fleet.reserve-lease: must not be shorter"),
        (fleet_file(candidates="two"), "fleet.candidates: expected int"),
        (fleet_file(shards=3), "fleet.shards: no such key"),
        (fleet_file() + "\n[undelivered]\n", "undelivered: cannot be combined with [fleet] yet"),
    ],
)
def test_a_fleet_that_cannot_be_set_up_is_refused_with_its_key(
    tmp_path: Path, text: str, message: str
) -> None:
    path, operator = write_config_files(tmp_path, 6379, 8500, [], text)
    result = CliRunner().invoke(main, ["check", "--config", path, "--operator", str(operator)])
    assert result.exit_code == 2, result.output
    assert message in result.output


def test_with_a_fleet_a_limit_is_split_over_its_zones(tmp_path: Path) -> None:
    path, operator = write_config_files(tmp_path, 6379, 8500, [], fleet_file())
    assert config.read({}, path, operator).settings.instance_count == 2
    assert config.read({}, path, None).settings.instance_count == 1


def test_the_fleet_example_can_be_read(tmp_path: Path) -> None:
    path, _ = write_config_files(tmp_path, 6379, 8500, [])
    loaded = config.read({}, path, str(ROOT / "deploy" / "fleet.toml"))
    assert loaded.operator.fleet is not None
    assert len(loaded.operator.fleet.zones) == 10


# Guards against two listeners of one process on an address that they share without an error.
@pytest.mark.parametrize(
    ("agent_check", "health", "error"),
    [
        (
            "127.0.0.1:9101",
            "127.0.0.1:9101",
            "beside.health: 127.0.0.1:9101 is the address of beside.agent-check",
        ),
        ("0.0.0.0:6379", "127.0.0.1:9102", "beside.agent-check: 0.0.0.0:6379 is the address of listen"),
    ],
)
def test_listeners_with_one_address_are_rejected(
    tmp_path: Path, agent_check: str, health: str, error: str
) -> None:
    operator = f'[beside]\nagent-check = "{agent_check}"\nhealth = "{health}"\n'
    paths = write_config_files(tmp_path, 6379, 9, [], operator)
    with pytest.raises(config.ConfigError) as raised:
        config.read({}, *paths)
    assert str(raised.value) == f"{error} already"
