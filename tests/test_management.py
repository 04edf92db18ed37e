"""The management address: metrics, callers that stall, and the commands `status` and `stats`."""

from __future__ import annotations

import asyncio
import json
import random
import re
from pathlib import Path

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

from .program import Peer, free_port, play, started, write
from .rig import DispatcherRig, endpoint_row
from .world import SECOND


def test_each_end_is_counted_once_under_its_outcome(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path, max_messages=4)
    for name in "abcd":
        assert stand.submit(name)
    assert not stand.submit("e"), "full: turned away"
    (first, *_) = stand.run(0.1)
    stand.dispatcher.call_written(first)
    stand.end(first, Outcome.DELIVERED)
    assert stand.dispatcher.metrics_snapshot()["responses"]["standard"] == {
        "ok": 1,
        "shed": 1,
        "errors": 0,
        "tries": 1,
    }
    assert stand.dispatcher.metrics_snapshot() | {"responses": 0} == {
        "responses": 0,
        "tries": 1,
        "active": 3,
        "pool_size": 2,
        "pool_ejected": 0,
    }
    left = list(stand.dispatcher.messages.by_id)
    stand.dispatcher.withdraw(left[0])  # no client waits for it, so it is counted under no outcome
    stand.dispatcher.conclude(stand.dispatcher.messages.by_id[left[1]], Ending.FAILED)
    stand.dispatcher.conclude(stand.dispatcher.messages.by_id[left[2]], Ending.REJECTED)
    told = stand.dispatcher.metrics_snapshot()
    assert told["responses"]["standard"] == {"ok": 1, "shed": 2, "errors": 1, "tries": 1}
    assert told["active"] == 0


def test_a_message_with_an_invalid_field_is_an_error_of_its_class(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    fields = TransactionParser(
        stand.settings, stand.dispatcher.pool.has_destination, stand.dispatcher.metrics.message_invalid
    )
    for told in ({"c": "standard", "d": "8000"}, {"c": "standard", "d": "9" * 9, "dest": "1", "k": "k"}, {}):
        with pytest.raises(FieldError):
            fields.parse(b"id", told, b"", 0)
    assert stand.dispatcher.metrics_snapshot()["responses"]["standard"]["errors"] == 2, (
        "the last one names no class"
    )


def test_a_process_counts_from_nothing_and_what_it_took_up_is_active(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    for name in "abc":
        stand.submit(name)
    again = DispatcherRig(tmp_path, stand.time)
    assert again.dispatcher.metrics_snapshot()["active"] == 3
    assert again.dispatcher.metrics_snapshot()["responses"]["standard"] == {
        "ok": 0,
        "shed": 0,
        "errors": 0,
        "tries": 0,
    }


def test_an_endpoint_that_sent_a_retry_after_is_avoided_until_it_expires(tmp_path: Path) -> None:
    stand = DispatcherRig(tmp_path)
    stand.submit("a")
    (call,) = stand.run(0.1)
    stand.end(call, Outcome.REJECTED, retry_after=2 * SECOND)
    stand.run(0.1)
    assert stand.dispatcher.metrics_snapshot()["pool_ejected"] == 1
    stand.run(2)
    assert stand.dispatcher.metrics_snapshot()["pool_ejected"] == 0


@pytest.mark.parametrize("seed", range(5))
def test_figures_agree_with_an_independent_count(tmp_path: Path, seed: int) -> None:
    """Random runs in virtual time: counts at endpoints and clients must equal the metrics of the process."""
    rng, stand = random.Random(seed), DispatcherRig(tmp_path, max_messages=20)
    saw = {"ok": 0, "shed": 0, "errors": 0, "tries": 0}
    taken, over = 0, set[str]()
    ends = (Outcome.DELIVERED, Outcome.DELIVERED, Outcome.ERROR, Outcome.REJECTED, Outcome.RESET)
    for number in range(300):
        if stand.submit(f"m{number}", dest=rng.choice((1, 2)), left=rng.choice((1, 4, 20)) * SECOND):
            taken += 1
        else:
            saw["shed"] += 1
        for call in stand.run(rng.random() / 20):
            written = rng.random() < 0.9
            if written:
                saw["tries"] += len(call.messages)
                stand.dispatcher.call_written(call)
            outcome = rng.choice(ends) if written else Outcome.CONNECT_FAILED
            if outcome is Outcome.DELIVERED:
                saw["ok"] += len([part for part in call.messages if part.id not in over])
                over |= {part.id for part in call.messages}
            stand.end(call, outcome)
    told = stand.dispatcher.metrics_snapshot()
    for answer in stand.answers:
        saw["errors" if answer.ending is Ending.FAILED else "shed"] += 1
    assert told["responses"]["standard"] == saw
    assert told["active"] == taken - len(over) - len(stand.answers)


def test_callers_that_stall_delay_no_other_reply(tmp_path: Path) -> None:
    async def work() -> None:
        at, agent = free_port(), await Peer().start()
        async with started(tmp_path, agent.port, [endpoint_row("s", 1)], management=f"127.0.0.1:{at}"):
            crowd = [
                await asyncio.open_connection("127.0.0.1", at) for _ in range(2 * MONITORING_CONNECTIONS)
            ]
            for _, writer in crowd:
                writer.write(b"stat")  # an incomplete request, which is never completed
            began = asyncio.get_running_loop().time()
            reader, writer = await asyncio.open_connection("127.0.0.1", at)
            writer.write(b"status\r\n")
            assert await reader.read() == b"+OK ready\r\n"
            assert asyncio.get_running_loop().time() - began < 1
            for _, writer in crowd:
                writer.close()

    play(work())


def test_the_two_commands(tmp_path: Path) -> None:
    async def work() -> None:
        at, agent = free_port(), await Peer().start()
        where = ["--at", f"127.0.0.1:{at}"]

        async def call(*words: str) -> tuple[int, str]:
            result = await asyncio.to_thread(CliRunner().invoke, main, [*words, *where])
            return result.exit_code, result.output

        code, output = await call("status")
        assert code == 1
        assert "no answer" in output
        async with started(tmp_path, agent.port, [endpoint_row("s", 1)], management=where[1]):
            assert await call("status") == (0, f"{where[1]}: ready\n")
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

    play(work())


@pytest.mark.parametrize(
    ("told", "says"),
    [
        ("nowhere", "management: expected HOST:PORT, got 'nowhere'"),
        ("127.0.0.1:0", "management: expected HOST:PORT, got '127.0.0.1:0'"),
        ("127.0.0.1:6379", "management: 127.0.0.1:6379 is the address of listen already"),
    ],
)
def test_an_address_that_cannot_be_is_named(tmp_path: Path, told: str, says: str) -> None:
    path, _ = write(tmp_path, 6379, 8500, [], management=told)
    with pytest.raises(config.ConfigError) as error:
        config.read({}, path)
    assert str(error.value) == says


def test_the_variable_wins_and_descriptors_are_set_aside(tmp_path: Path) -> None:
    path, _ = write(tmp_path, 6379, 8500, [])
    without = config.read({}, path)
    told = config.read({"ROUTER_MANAGEMENT": "127.0.0.1:9"}, path)
    assert without.management is None
    assert str(told.management) == "127.0.0.1:9"
    assert sum(descriptor_budget(without)) - sum(descriptor_budget(told)) == MONITORING_CONNECTIONS


def test_an_address_in_use_ends_the_start_with_its_key(tmp_path: Path) -> None:
    async def work() -> None:
        at = (await Peer().start()).port
        path, _ = write(tmp_path, free_port(), at, [], management=f"127.0.0.1:{at}")
        told = config.read({}, path)
        with pytest.raises(config.ConfigError, match=r"^management: cannot listen on 127.0.0.1:\d+: Address"):
            await run(told, lambda before: before)

    play(work())


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
