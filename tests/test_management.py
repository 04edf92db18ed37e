"""The management address: metrics, callers that stall, and the commands `status` and `stats`."""

from __future__ import annotations

import asyncio
import json
import random
import re
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from honeyhitch import config
from honeyhitch.cli.main import main
from honeyhitch.dispatcher.delivery import DispatcherState, Phase
from honeyhitch.journal.transactions import Ending
from honeyhitch.policy.events import Outcome
from honeyhitch.protocols.buffer import Buffer
from honeyhitch.protocols.management import MAX_LINE_BYTES, ManagementSession
from honeyhitch.protocols.transaction_parser import FieldError, TransactionParser
from honeyhitch.service.descriptors import MONITORING_CONNECTIONS, descriptor_budget
from honeyhitch.service.run import run

from .agent import Agent
from .polling import poll_until
from .program import Peer, free_port, run_async_test, running_program, write_config_files
from .rig import DispatcherRig, endpoint_row
from .world import SECOND

PARTIAL_BODY_BYTES = 20_000


def test_each_end_is_counted_once_under_its_outcome(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path, max_messages=4)
    for name in "abcd":
        assert rig.submit(name)
    assert not rig.submit("e"), "a message beyond max_messages is rejected"
    (first, *_) = rig.advance(0.1)
    rig.dispatcher.call_written(first)
    rig.end(first, Outcome.DELIVERED)
    assert rig.dispatcher.metrics_snapshot()["responses"]["standard"] == {
        "ok": 1,
        "shed": 1,
        "errors": 0,
        "tries": 1,
    }
    assert rig.dispatcher.metrics_snapshot() | {"responses": 0} == {
        "responses": 0,
        "tries": 1,
        "active": 3,
        "pool_size": 2,
        "pool_ejected": 0,
    }
    remaining = list(rig.dispatcher.messages.by_id)
    rig.dispatcher.withdraw(remaining[0])  # no client waits for it, so it is counted under no outcome
    rig.dispatcher.conclude(rig.dispatcher.messages.by_id[remaining[1]], Ending.FAILED)
    rig.dispatcher.conclude(rig.dispatcher.messages.by_id[remaining[2]], Ending.REJECTED)
    metrics = rig.dispatcher.metrics_snapshot()
    assert metrics["responses"]["standard"] == {"ok": 1, "shed": 2, "errors": 1, "tries": 1}
    assert metrics["active"] == 0


def test_a_message_with_an_invalid_field_is_an_error_of_its_class(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    parser = TransactionParser(
        rig.settings, rig.dispatcher.pool.has_destination, rig.dispatcher.metrics.message_invalid
    )
    for fields in (
        {"c": "standard", "d": "8000"},
        {"c": "standard", "d": "9" * 9, "dest": "1", "k": "k"},
        {},
    ):
        with pytest.raises(FieldError):
            parser.parse(b"id", fields, b"", 0)
    assert rig.dispatcher.metrics_snapshot()["responses"]["standard"]["errors"] == 2, (
        "fields without a class are counted for no class"
    )


def test_counts_start_at_zero_and_messages_recovered_from_the_journal_are_active(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    for name in "abc":
        rig.submit(name)
    restarted = DispatcherRig(tmp_path, rig.time)
    assert restarted.dispatcher.metrics_snapshot()["active"] == 3
    assert restarted.dispatcher.metrics_snapshot()["responses"]["standard"] == {
        "ok": 0,
        "shed": 0,
        "errors": 0,
        "tries": 0,
    }


def test_an_endpoint_that_sent_a_retry_after_is_avoided_until_it_expires(tmp_path: Path) -> None:
    rig = DispatcherRig(tmp_path)
    rig.submit("a")
    (call,) = rig.advance(0.1)
    rig.end(call, Outcome.REJECTED, retry_after=2 * SECOND)
    rig.advance(0.1)
    assert rig.dispatcher.metrics_snapshot()["pool_ejected"] == 1
    rig.advance(2)
    assert rig.dispatcher.metrics_snapshot()["pool_ejected"] == 0


@pytest.mark.parametrize("seed", range(5))
def test_figures_agree_with_an_independent_count(tmp_path: Path, seed: int) -> None:
    """Random runs in virtual time: counts at endpoints and clients must equal the metrics of the process."""
    rng, rig = random.Random(seed), DispatcherRig(tmp_path, max_messages=20)
    counted = {"ok": 0, "shed": 0, "errors": 0, "tries": 0}
    accepted, delivered = 0, set[str]()
    outcomes = (Outcome.DELIVERED, Outcome.DELIVERED, Outcome.ERROR, Outcome.REJECTED, Outcome.RESET)
    for number in range(300):
        if rig.submit(f"m{number}", dest=rng.choice((1, 2)), left=rng.choice((1, 4, 20)) * SECOND):
            accepted += 1
        else:
            counted["shed"] += 1
        for call in rig.advance(rng.random() / 20):
            written = rng.random() < 0.9
            if written:
                counted["tries"] += len(call.messages)
                rig.dispatcher.call_written(call)
            outcome = rng.choice(outcomes) if written else Outcome.CONNECT_FAILED
            if outcome is Outcome.DELIVERED:
                counted["ok"] += len([message for message in call.messages if message.id not in delivered])
                delivered |= {message.id for message in call.messages}
            rig.end(call, outcome)
    metrics = rig.dispatcher.metrics_snapshot()
    for answer in rig.answers:
        counted["errors" if answer.ending is Ending.FAILED else "shed"] += 1
    assert metrics["responses"]["standard"] == counted
    assert metrics["active"] == accepted - len(delivered) - len(rig.answers)


def test_callers_that_stall_delay_no_other_reply(tmp_path: Path) -> None:
    async def work() -> None:
        port, agent = free_port(), await Peer().start()
        async with running_program(
            tmp_path, agent.port, [endpoint_row("s", 1)], management=f"127.0.0.1:{port}"
        ):
            stalled = [
                await asyncio.open_connection("127.0.0.1", port) for _ in range(2 * MONITORING_CONNECTIONS)
            ]
            for _, writer in stalled:
                writer.write(b"stat")  # an incomplete request, which is never completed
            started_at = asyncio.get_running_loop().time()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"status\r\n")
            assert await reader.read() == b"+OK ready\r\n"
            assert asyncio.get_running_loop().time() - started_at < 1
            for _, writer in stalled:
                writer.close()

    run_async_test(work())


def test_status_and_stats_report_on_a_running_dispatcher(tmp_path: Path) -> None:
    async def work() -> None:
        port, agent = free_port(), await Peer().start()
        address_option = ["--at", f"127.0.0.1:{port}"]

        async def call(*words: str) -> tuple[int, str]:
            result = await asyncio.to_thread(CliRunner().invoke, main, [*words, *address_option])
            return result.exit_code, result.output

        code, output = await call("status")
        assert code == 1
        assert "no answer" in output
        async with running_program(
            tmp_path, agent.port, [endpoint_row("s", 1)], management=address_option[1]
        ):
            assert await call("status") == (0, f"{address_option[1]}: ready\n")
            code, output = await call("status", "--json")
            assert code == 0
            assert json.loads(output)["ready"] is True
            code, output = await call("stats", "--json")
            assert code == 0
            assert json.loads(output)["pool_size"] == 1
            code, output = await call("stats")
            assert code == 0
            assert "active: 0" in output
            assert "standard" in output

    run_async_test(work())


@pytest.mark.parametrize(
    ("address", "expected"),
    [
        ("nowhere", "management: expected HOST:PORT, got 'nowhere'"),
        ("127.0.0.1:0", "management: expected HOST:PORT, got '127.0.0.1:0'"),
        ("127.0.0.1:6379", "management: 127.0.0.1:6379 is the address of listen already"),
    ],
)
def test_an_invalid_management_address_is_reported_with_its_key(
    tmp_path: Path, address: str, expected: str
) -> None:
    path, _ = write_config_files(tmp_path, 6379, 8500, [], management=address)
    with pytest.raises(config.ConfigError) as error:
        config.read({}, path)
    assert str(error.value) == expected


def test_the_variable_takes_precedence_and_descriptors_are_reserved(tmp_path: Path) -> None:
    path, _ = write_config_files(tmp_path, 6379, 8500, [])
    without_management = config.read({}, path)
    with_management = config.read({"ROUTER_MANAGEMENT": "127.0.0.1:9"}, path)
    assert without_management.management is None
    assert str(with_management.management) == "127.0.0.1:9"
    assert (
        sum(descriptor_budget(without_management)) - sum(descriptor_budget(with_management))
        == MONITORING_CONNECTIONS
    )


def test_an_address_in_use_ends_the_start_with_its_key(tmp_path: Path) -> None:
    async def work() -> None:
        port = (await Peer().start()).port
        path, _ = write_config_files(tmp_path, free_port(), port, [], management=f"127.0.0.1:{port}")
        used_address_config = config.read({}, path)
        with pytest.raises(config.ConfigError, match=r"^management: cannot listen on 127.0.0.1:\d+: Address"):
            await run(used_address_config, lambda before: before)

    run_async_test(work())


@given(
    pieces=st.lists(st.sampled_from([b"status", b"stats", b"\r", b"\n", b"x" * 300]) | st.binary(max_size=9))
)
def test_a_request_in_pieces_gets_at_most_one_reply_of_the_documented_form(pieces: list[bytes]) -> None:
    """The answer depends on the bytes alone, not on how they were cut."""

    def answered(parts: list[bytes]) -> bytes:
        one, buffer, said = (
            ManagementSession(lambda: DispatcherState(Phase.READY, 0, 9), lambda: {"active": 0}),
            Buffer(),
            b"",
        )
        for part in parts:
            if one.closing:
                break
            if part:
                buffer.feed(part)
                said += one.receive(buffer)
        assert one.closing is bool(said)
        return said

    whole, cut = b"".join(pieces), answered(pieces)
    line, end, _ = whole.partition(b"\n")
    if not end and len(whole) < MAX_LINE_BYTES:
        assert not cut, "nothing before the line is whole"
        return
    assert cut == answered([bytes([byte]) for byte in whole])
    figures = line.strip() == b"stats" and len(line) < MAX_LINE_BYTES
    assert cut == b'{"active":0}\r\n.\r\n' if figures else re.fullmatch(rb"(\+OK|-ERR) [ -~]*\r\n", cut)


def test_limits_report_what_is_held_and_what_was_refused_why(tmp_path: Path) -> None:
    async def work() -> None:
        management = free_port()
        agent = await Agent([endpoint_row("refuses", 1)]).start()
        arguments = ["limits", "--at", f"127.0.0.1:{management}", "--json"]

        async def report() -> dict[str, Any]:
            result = await asyncio.to_thread(CliRunner().invoke, main, arguments)
            content: dict[str, Any] = json.loads(result.output)
            return content

        async def holds_request() -> bool:
            return bool((await report())["memory"]["requests"]["used"] >= PARTIAL_BODY_BYTES)

        async with running_program(
            tmp_path,
            agent.port,
            agent.members,
            management=f"127.0.0.1:{management}",
            limits={"memory_mb": 96, "sockets": 128},
        ) as port:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"*2\r\n$4\r\nPING\r\n$65536\r\n" + bytes(PARTIAL_BODY_BYTES))
            await poll_until(holds_request)
            content = await report()
            memory = content["memory"]
            assert memory["limit"] == 96_000_000
            assert memory["requests"]["used"] <= memory["requests"]["limit"]
            assert memory["clients"]["used"] >= 1
            assert content["sockets"]["limit"] == 128
            assert content["rejected_messages"] == {}
            writer.close()

    run_async_test(work())
