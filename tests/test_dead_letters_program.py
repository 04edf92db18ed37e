"""Tests of the program with a dead-letter store, the control socket and the `undelivered` commands."""

from __future__ import annotations

import asyncio
import csv
import io
import json
import os
import signal
import socket
import sqlite3
import stat
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from honeyhitch import config
from honeyhitch.cli.main import main
from honeyhitch.dead_letters.files import StoreError
from honeyhitch.dead_letters.filters import RecordFilter
from honeyhitch.dead_letters.records import Record, RecordStatus
from honeyhitch.dead_letters.report import Disposition, Report
from honeyhitch.dead_letters.resend_scheduler import ResendScheduler
from honeyhitch.dead_letters.settings import ResendSettings
from honeyhitch.dead_letters.store import Store
from honeyhitch.service.run import run
from honeyhitch.transports.control_client import ControlClient, ControlCommandError

from .agent import Agent
from .broker import Broker
from .dead_letter_records import make_record
from .partner import Partner
from .polling import poll_until
from .program import free_port, run_async_test, running_program, write_config_files
from .rig import START, endpoint_row
from .test_program import Client

OPERATOR_FILE = "[undelivered]\nmax-count = 1000\n"
SETTLE_REASON = "the partner's books"


def cli(*arguments: str, code: int = 0) -> str:
    """Run an `undelivered` command, check its exit code, and return its standard output."""
    result: Result = CliRunner().invoke(main, ["undelivered", *arguments], catch_exceptions=False)
    assert result.exit_code == code, result.output
    return result.stdout


async def submit_message(
    port: int, name: str, time_left_ms: int = 1500, key: str = "", body: bytes = b"=1+1 \xc3\xa9"
) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    fields = f"c=standard,t=studio,d={time_left_ms},dest=1,k={key or f'key-{name}'}"
    arguments = [b"ENQUEUE", b"0" * 16, name.encode(), fields.encode(), body]
    writer.write(b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in arguments))
    assert (await reader.readline()).startswith(b"+")
    writer.close()


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition that is checked in a thread is true."""

    async def condition_holds() -> bool:
        return bool(await asyncio.to_thread(condition))

    await poll_until(condition_holds)


def test_a_failed_message_is_stored_and_shown_by_the_running_program(tmp_path: Path) -> None:
    async def work() -> None:
        partner = await Partner(500).start()
        members = [{**endpoint_row("s-1", 1), "host_port": f"127.0.0.1:{partner.port}"}]
        agent = await Agent(members).start()
        control = tmp_path / "state" / "control.sock"
        async with running_program(tmp_path, agent.port, members, OPERATOR_FILE) as port:
            assert stat.S_IMODE(os.stat(control).st_mode) == 0o600
            await submit_message(port, "m1")
            cli_options = [
                "--config",
                str(tmp_path / "config.json"),
                "--operator",
                str(tmp_path / "operator.toml"),
            ]

            def list_exported() -> Any:
                return json.loads(cli(*cli_options, "list", "--json"))["records"]

            await wait_until(list_exported)
            (exported,) = await asyncio.to_thread(list_exported)
            assert exported["id"] == "m1"
            assert exported["reason"] == "error"
            assert exported["may_have_run"] is True
            assert exported["intact"] is True
            assert len(exported["attempts"]) == partner.calls
            assert exported["attempts"][0]["member"] == "s-1"
            await wait_until(lambda: "m1" in agent.notices)
            text = await asyncio.to_thread(cli, *cli_options, "show", "m1")
            assert "=1+1 é" in text
            assert "s-1" in text
            assert "error" in text
            text = await asyncio.to_thread(cli, *cli_options, "settle", "m1", "--why", SETTLE_REASON)
            assert "settle 1 m1" in text
            text = await asyncio.to_thread(cli, *cli_options, "verify", "--json")
            assert json.loads(text) == {"records": 1, "faults": []}
            state = json.loads(await asyncio.to_thread(cli, *cli_options, "state"))
            assert state["undelivered"]["moved"] == 1
            assert state["undelivered"]["loaded"]
            client = ControlClient(control)
            state = await asyncio.to_thread(client.request, "GET", "/state")
            assert state["phase"] == "ready"
            assert state["pid"] == os.getpid()
            for method, path, body, error in (
                ("GET", "/nothing", None, "/nothing: no such path"),
                ("GET", "/undelivered/list", None, "/undelivered/list: expected POST"),
                ("POST", "/undelivered/list", {"most": -1}, "most: expected a whole number"),
            ):
                with pytest.raises(ControlCommandError) as error_info:
                    await asyncio.to_thread(client.request, method, path, body)
                assert str(error_info.value).startswith(error)
            client.close()
        assert not control.exists()
        # The program has ended, so the same commands read the store's files.
        (exported,) = await asyncio.to_thread(list_exported)
        assert exported["standing"] == "settled"
        assert exported["settled_by"].startswith("person:")

    run_async_test(work())


def test_a_broken_request_is_answered_and_its_connection_closed(tmp_path: Path) -> None:
    async def work() -> None:
        agent = await Agent([]).start()
        operator = f'[control]\npath = "{tmp_path}/c.sock"\n'
        async with running_program(tmp_path, agent.port, [], operator):
            reader, writer = await asyncio.open_unix_connection(str(tmp_path / "c.sock"))
            writer.write(
                b"GET /state HTTP/1.1\r\nHost: x\r\n\r\nPOST /x HTTP/1.1\r\nContent-Length: 1\r\n\r\n{"
            )
            answers = await reader.read()
            assert answers.startswith(b"HTTP/1.1 200 OK\r\n")
            assert b"HTTP/1.1 400 Bad Request" in answers
            assert b"Connection: close" in answers
            assert answers.count(b"HTTP/1.1 ") == 2
            writer.close()

    run_async_test(work())


def test_a_store_that_cannot_be_opened_does_not_affect_live_traffic(tmp_path: Path) -> None:
    async def work() -> None:
        partner = await Partner(500).start()
        members = [{**endpoint_row("s-1", 1), "host_port": f"127.0.0.1:{partner.port}"}]
        agent = await Agent(members).start()
        (tmp_path / "file").write_text("in the way")
        operator = f'[undelivered]\nfolder = "{tmp_path}/file"\n'
        async with running_program(tmp_path, agent.port, members, operator) as port:
            await submit_message(port, "m1")
            await wait_until(lambda: "m1" in agent.notices)
            partner.status = 200
            calls = partner.calls
            await submit_message(port, "m2", time_left_ms=15_000)
            await wait_until(lambda: partner.calls > calls)
        os.unlink(tmp_path / "file")
        async with running_program(tmp_path, agent.port, members, operator):
            await wait_until(
                lambda: (tmp_path / "file" / "undelivered.db").exists() and stored_records(tmp_path / "file")
            )
        assert [record.id for record in stored_records(tmp_path / "file")] == ["m1"]

    run_async_test(work())


def stored_records(folder: Path) -> list[Record]:
    """Return the records of a store, or an empty list if the store cannot be opened."""
    try:
        store = Store(folder, writes=False)
    except (StoreError, sqlite3.Error):  # the store does not exist yet
        return []
    try:
        return [stored.record for stored in store.page(RecordFilter())]
    finally:
        store.close()


def fill_store(folder: Path, count: int = 120) -> list[str]:
    """Create a store with `count` records, and return the command options that select the store."""
    store = Store(folder, clock=lambda: START)
    store.add(
        [
            make_record(may_have_executed=i % 2 == 0, tenant=f"t{i % 3}", destination=i % 4, body=b"=cmd()")
            for i in range(count)
        ]
    )
    store.close()
    return ["--store", str(folder)]


def test_pages_tables_and_exports(tmp_path: Path) -> None:
    store_options = fill_store(tmp_path / "s")
    text = cli(*store_options, "list", "--limit", "10", "--dest", "2")
    assert len(text.splitlines()) == 13
    assert "there may be more: --after 39" in text
    assert cli(*store_options, "list", "--tenant", "nobody") == "none\n"
    page = json.loads(cli(*store_options, "list", "--json", "--limit", "1000", "--never-ran"))
    assert len(page["records"]) == 60
    assert not page["more"]
    text = cli(*store_options, "stats", "--by", "tenant", "--by", "may_have_run", "--by", "day")
    assert "120 of 100000 records" in text
    assert text.count("2023-11-14") == 6
    rows = list(csv.DictReader(io.StringIO(cli(*store_options, "export", "--tenant", "t1"))))
    assert len(rows) == 40
    assert {row["body"] for row in rows} == {"'=cmd()"}, "formulas are escaped for spreadsheets"
    lines = cli(*store_options, "export", "--format", "jsonl").splitlines()
    assert len(lines) == 120
    assert json.loads(lines[0])["body"] == "=cmd()"
    out = tmp_path / "out.csv"
    cli(*store_options, "export", "--output", str(out))
    assert len(out.read_text().splitlines()) == 121
    cli(*store_options, "export", "--output", str(out), code=1)
    assert cli(*store_options, "list", "--since", "1h") == "none\n"
    assert len(cli(*store_options, "list", "--until", "2023-11-15").splitlines()) > 40
    cli(*store_options, "list", "--since", "soon", code=2)


def test_changes_require_a_selection_and_a_reason(tmp_path: Path) -> None:
    store_options = fill_store(tmp_path / "s", 450)
    # A change without a selection must not apply to all records.
    cli(*store_options, "discard", "--why", "x", code=2)
    cli(*store_options, "discard", "3", "--tenant", "t1", "--why", "x", code=2)
    cli(*store_options, "discard", "3", code=2)
    cli(*store_options, "show", "nobody", code=1)
    assert "would discard 3" in cli(*store_options, "discard", "3", "--why", "x", "--dry-run")
    assert "1 done, 0 left" in cli(*store_options, "discard", "3", "--why", "x")
    assert "0 done, 1 left" in cli(*store_options, "discard", "3", "--why", "x", code=1)
    text = cli(*store_options, "release", "--all", "--evidence", "letter of today")
    assert "224 done, 226 left" in text
    assert "150 were deleted" not in cli(*store_options, "purge", "--all", "--why", "old")
    assert "449 done" in cli(*store_options, "discard", "--all", "--why", "the year is closed")
    assert "449 would be deleted" in cli(*store_options, "purge", "--all", "--why", "old", "--dry-run")
    assert "449 were deleted" in cli(*store_options, "purge", "--all", "--why", "old")
    assert cli(*store_options, "list") == "none\n"
    assert len(cli(*store_options, "audit").splitlines()) == 1 + 224 + 1 + 449 + 449
    assert "sealed with key 2" in cli(*store_options, "rekey")
    assert "0 records, 0 faults" in cli(*store_options, "verify")


def test_verify_reports_an_altered_record(tmp_path: Path) -> None:
    store_options = fill_store(tmp_path / "s", 3)
    store = Store(tmp_path / "s")
    store.database.execute("UPDATE detail SET body = 'other' WHERE seq = 2")
    store.close()
    assert "record 2 (" in cli(*store_options, "verify", code=1)
    assert "ALTERED" in cli(*store_options, "list")
    assert "ALTERED ON DISK" in cli(*store_options, "show", "2")
    assert "1 were deleted" in cli(*store_options, "purge", "2", "--altered", "--why", "seen")


def test_a_store_in_use_is_reported(tmp_path: Path) -> None:
    store_options = fill_store(tmp_path / "s", 3)
    store = Store(tmp_path / "s")
    result = CliRunner().invoke(main, ["undelivered", *store_options, "discard", "1", "--why", "x"])
    assert result.exit_code == 1
    assert "writes this store already" in result.output
    store.close()
    assert len(cli(*store_options, "list").splitlines()) == 5


def test_a_stale_control_socket_is_replaced_and_one_in_use_is_not(tmp_path: Path) -> None:
    async def work() -> None:
        agent = await Agent([]).start()
        operator = f'[control]\npath = "{tmp_path}/c.sock"\n'
        with socket.socket(socket.AF_UNIX) as stale_socket:
            stale_socket.bind(f"{tmp_path}/c.sock")
        async with running_program(tmp_path, agent.port, [], operator):
            state = await asyncio.to_thread(ControlClient(tmp_path / "c.sock").request, "GET", "/state")
            assert state["phase"] == "ready"
            (tmp_path / "second").mkdir()
            async with running_program(tmp_path / "second", agent.port, [], operator):
                later_state = await asyncio.to_thread(
                    ControlClient(tmp_path / "c.sock").request, "GET", "/state"
                )
                assert later_state == state
            later_state = await asyncio.to_thread(ControlClient(tmp_path / "c.sock").request, "GET", "/state")
            assert later_state == state, "the end of the second process removed the first one's socket"

    run_async_test(work())


def test_the_report_sums_each_message_once(tmp_path: Path) -> None:
    store = Store(tmp_path / "s", clock=lambda: START)
    body = b'{"invoice": {"total": 10.25}}'
    store.add(
        [
            make_record(body=body, tenant="<b>one</b>"),
            make_record(body=body, may_have_executed=True, idempotency="unsafe", destination=2),
            make_record(
                body=b'{"invoice": {"total": "4.5"}}', status=RecordStatus.SETTLED, settled_by="resend:x"
            ),
            make_record(
                body=b'{"invoice": {"total": 1e99}}', status=RecordStatus.SETTLED, settled_by="person:me"
            ),
            make_record(body=b"no JSON", status=RecordStatus.DISCARDED),
            make_record(body=body, status=RecordStatus.REPLACED),
            make_record(body=body, destination=10),
        ]
    )
    store.database.execute("UPDATE record SET tenant = 'other' WHERE seq = 7")
    report = Report(ResendSettings(), START, "invoice.total")
    report.add(store.iterate(RecordFilter()))
    store.close()
    totals = {
        disposition: (cell.count, str(cell.amount), cell.without_amount)
        for disposition, cell in report.total.items()
    }
    assert totals == {
        Disposition.SAFE: (1, "10.25", 0),
        Disposition.NOT_SAFE: (1, "10.25", 0),
        Disposition.RESENT: (1, "4.5", 0),
        Disposition.SETTLED: (1, "0", 1),
        Disposition.DISCARDED: (1, "0", 1),
        Disposition.ALTERED: (1, "0", 1),
    }
    assert report.replaced == 1
    assert set(report.groups["destination"]) == {"1", "2", "10"}
    out = tmp_path / "report.html"
    arguments = [
        "--store",
        str(tmp_path / "s"),
        "report",
        "--output",
        str(out),
        "--amount-field",
        "invoice.total",
    ]
    assert "6 messages in" in cli(*arguments)
    page = out.read_text()
    assert "&lt;b&gt;one&lt;/b&gt;" in page
    assert "<b>one" not in page
    assert page.index("<td>2</td>") < page.index("<td>10</td>")
    assert "2023-11-14" in page
    cli(*arguments, code=1)  # an existing report is not overwritten


RULES_FILE = """
[undelivered]
copy-grace = 0

[[undelivered.rule]]
action = "resend"
healthy = 0
pause = 1
rate = 100

[mqtt]
broker = "127.0.0.1:{broker}"
intake = "in"
"""


@pytest.mark.parametrize("frontend", ["resp", "mqtt"])
@pytest.mark.parametrize("first", ["copy", "resend"])
def test_a_duplicate_and_a_resend_are_never_in_flight_together(
    tmp_path: Path, frontend: str, first: str
) -> None:
    """A duplicate and a resend of one message are not in flight together, with real sockets.

    The test covers both frontends and both orders. The duplicate's id is `copy`.
    """

    async def work() -> None:
        partner, broker = await Partner(200, holds_replies=True).start(), Broker()
        await broker.start()
        client = Client(asyncio.get_running_loop())
        members = [{**endpoint_row("s-1", 1), "host_port": f"127.0.0.1:{partner.port}"}]
        agent = await Agent(members).start()
        store = Store(tmp_path / "state" / "undelivered")
        now = time.time_ns()
        record_fields: dict[str, Any] = {
            "ended_at": now,
            "accepted_at": now,
            "attempts": (),
            "ending": "rejected",
            "body": b"body of copy",
        }
        store.add([make_record(id="m1", key="k-copy", **record_fields)])
        hold_rules_file = RULES_FILE.replace("resend", "hold").replace("healthy = 0\n", "")
        # If the duplicate is first, RULES_FILE is loaded later.
        rules_file = hold_rules_file if first == "copy" else RULES_FILE
        store.close()
        async with running_program(
            tmp_path, agent.port, members, rules_file.format(broker=broker.port)
        ) as port:
            client.connect(broker.port)
            await wait_until(lambda: broker.subscribed("n0-intake", "client"))

            async def submit_duplicate() -> None:
                if frontend == "resp":
                    await submit_message(port, "copy", 15_000, "k-copy", b"body of copy")
                else:
                    client.submit("copy", 1, left=15_000)

            if first == "copy":
                await submit_duplicate()
                await wait_until(lambda: partner.calls == 1)
                (tmp_path / "operator.toml").write_text(RULES_FILE.format(broker=broker.port))
                os.kill(os.getpid(), signal.SIGHUP)
            else:
                await wait_until(lambda: partner.calls == 1)
                await submit_duplicate()
            # Another message reaches the partner, so a second call with this key would have reached it, too.
            await submit_message(port, "other", time_left_ms=15_000)
            await wait_until(lambda: partner.calls == 2)
            partner.released.set()
            if frontend == "mqtt":
                await client.wait_for_answers(1)
                assert client.answers["copy"][0]["status"] == "delivered"
            folder = tmp_path / "state" / "undelivered"
            await wait_until(
                lambda: [record.status for record in stored_records(folder)] == [RecordStatus.SETTLED]
            )
        client.paho.disconnect()
        client.paho.loop_stop()
        (record,) = stored_records(tmp_path / "state" / "undelivered")
        assert record.settled_by == ("copy:copy" if first == "copy" else f"resend:{record.resend_id}")
        assert partner.calls == 2, partner.bodies

    run_async_test(work())


def test_the_program_does_not_report_ready_before_it_accepts_messages(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    ready_callbacks: list[Any] = []
    monkeypatch.setattr(ResendScheduler, "load", lambda _, on_ready: ready_callbacks.append(on_ready))
    management = free_port()

    async def send_request(port: int, line: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(line)
        answer = await reader.readline()
        writer.close()
        return answer

    async def work() -> None:
        port = free_port()
        path = write_config_files(
            tmp_path, port, free_port(), [], OPERATOR_FILE, management=f"127.0.0.1:{management}"
        )
        task = asyncio.ensure_future(run(config.read({}, *path), lambda now: now))
        try:
            while not ready_callbacks:
                assert not task.done(), task.exception()
                await asyncio.sleep(0)
            await wait_until(lambda: is_listening(port))
            assert await send_request(port, b"PING\r\n") == b"-LOADING not ready\r\n"
            assert await send_request(management, b"status\n") == b"-ERR status: starting\r\n"
            ready_callbacks[0]()
            assert await send_request(port, b"PING\r\n") == b"+PONG\r\n"
            assert await send_request(management, b"status\n") == b"+OK ready\r\n"
            await submit_message(port, "m1")
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    run_async_test(work())


def is_listening(port: int) -> bool:
    """Return whether a TCP socket accepts connections on the port."""
    with socket.socket() as sock:
        return sock.connect_ex(("127.0.0.1", port)) == 0
