"""The simulator host's input and output lines, tested in a subprocess and in this process."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from honeyhitch.simulator_host.host import Host
from honeyhitch.simulator_host.lines import WireError

ROOT = Path(__file__).parent.parent
SETTINGS = (
    "caps.cancel=true caps.max-open=50 caps.max-retry-after=3000000000 caps.most-tries=8 "
    "caps.connect-timeout=1000000000 caps.conn-idle=5000000000 caps.new-thing=x classes.count=1 "
    "classes.0.aim=2000000000 classes.0.deadline=8000000000 classes.0.semantics=pure classes.0.worth=1.0 "
    "discovery=automatic family-info.call-slots=4 family-info.own-limits=false family-info.per-call=1 "
    "invariants.cold=10000000000 invariants.cold-share=0.2 invariants.fall=2000000000 "
    "invariants.fall-multiple=2.0 replicas-of-me=2 resolution=5000000 shapes=x weights=nominal"
)
START = [
    "tick 1000 1",
    f"power_on dispatcher-0 42 {SETTINGS}",
    "ledger 0 1",
    "endpoint 10.0.0.1:80 20 0 ready - 7 0",
    "membership dispatcher-0 cached 0 1",
    "commit",
]
ARRIVAL = "arrival dispatcher-0 r-a - - 8000000000 0 - 7 0"


def run_simulator_host(lines: list[str]) -> subprocess.CompletedProcess[str]:
    """Run the module that the deploy file starts, with these lines as its input."""
    text = "".join(line + "\n" for line in lines)
    command = [sys.executable, "-m", "honeyhitch.wirehost"]
    return subprocess.run(command, input=text, capture_output=True, text=True, cwd=ROOT, check=False)


def test_a_message_is_sent_and_delivered() -> None:
    outcome = "returned dispatcher-0 r-a 0 10.0.0.1:80 pass 1000 1 - -"
    result = run_simulator_host([*START, "tick 2000 2", ARRIVAL, "commit", "tick 3000 3", outcome, "commit"])
    assert result.returncode == 0
    assert result.stderr == ""
    lines = result.stdout.splitlines()
    assert lines[0] == "ready 1"
    assert lines[-1] == "ready 3"
    assert any(line.startswith("route dispatcher-0 r-a ") for line in lines)


def test_retry_after_is_read_in_milliseconds() -> None:
    rejection = "returned dispatcher-0 r-a 0 10.0.0.1:80 no_room 1000 0 1500 -"
    second_arrival = "arrival dispatcher-0 r-b - - 8000000000 0 - 7 0"
    result = run_simulator_host(
        [*START, "tick 2000 2", ARRIVAL, "commit", "tick 3000 3", rejection, second_arrival, "commit"]
    )
    assert "route dispatcher-0 r-b" not in result.stdout
    assert result.returncode == 0


@pytest.mark.parametrize(
    ("line", "expected_text"),
    [
        ("arrival dispatcher-9 r-a - - 8 0 - 7 0", "dispatcher-9"),
        ("arrival dispatcher-0 r-a - - 8 0 - 7", "values"),
        ("arrival dispatcher-0 r-a - - soon 0 - 7 0", "time-budget"),
        ("membership dispatcher-0 full 3 1", "page"),
        ("ledger 16 1", "page"),
        ("endpoint 10.0.0.1:80 1 0 ready - 7 0", "ledger"),
        ("returned dispatcher-0 r-a 0 10.0.0.1:80 maybe 1 1 - -", "outcome"),
        ("power_on dispatcher-1 5 classes.count=1", "missing"),
        ("noise", "noise"),
    ],
)
def test_a_malformed_line_ends_the_process_and_is_named(line: str, expected_text: str) -> None:
    result = run_simulator_host([*START, "tick 2000 2", line, "commit"])
    assert result.returncode == 1
    assert result.stderr.count("\n") == 1
    assert "input.line-rejected" in result.stderr
    assert "line=8" in result.stderr
    assert expected_text in result.stderr
    assert result.stdout == "ready 1\n" or "ready 2" not in result.stdout


def test_input_that_ends_inside_a_batch_is_an_error() -> None:
    assert run_simulator_host(START).returncode == 0
    assert run_simulator_host(START[:-1]).returncode == 1


def test_settings_out_of_range_name_the_field() -> None:
    result = run_simulator_host([START[0], START[1].replace("call-slots=4", "call-slots=0"), "commit"])
    assert result.returncode == 1
    assert "slots" in result.stderr


def test_an_exception_in_the_policy_is_reported(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    host = Host(sys.stdout)
    for line in START:
        host.handle_line(line)

    def raise_error(*_: object) -> None:
        raise RuntimeError("torn\napart")

    monkeypatch.setattr(host.instances["dispatcher-0"].policy, "handle", raise_error)
    for line in ["tick 2000 2", ARRIVAL, "commit"]:
        host.handle_line(line)
    out, err = capsys.readouterr()
    assert "bug dispatcher-0 RuntimeError: torn apart\nready 2" in out
    assert "Traceback" in err


def test_a_stopped_instance_restarts_without_its_state() -> None:
    host = Host(sys.stdout)
    for line in [*START, "tick 2000 2", "down dispatcher-0", *START[1:]]:
        host.handle_line(line)
    host.handle_line("tick 3000 3")
    host.handle_line("down dispatcher-0")
    with pytest.raises(WireError):
        host.handle_line(ARRIVAL)


def test_the_deploy_file_names_the_policy_and_the_simulator_host() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    modules = sorted(str(path.relative_to(ROOT)) for path in (ROOT / "honeyhitch" / "policy").glob("*.py"))
    assert deploy["policy"] == modules
    assert "honeyhitch.wirehost" in deploy["sim"]
