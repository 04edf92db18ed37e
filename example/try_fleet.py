"""Two dispatchers that share the destinations: a message handed in at either is delivered by its owner.

It starts the toy partner, a toy list of the fleet and two dispatchers on free ports. `make try-fleet` makes
the environment first. Exit code 0 once both messages were delivered.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

HERE = Path(__file__).parent
sys.path.insert(0, str(HERE.parent))
from example.parts import STEP_TIMEOUT_SECONDS, free_ports, print_until, wait_until_serving  # noqa: E402

NAMES = ("one", "two")
BEAT = 0.5  # seconds between heartbeats
OPERATOR = '[fleet]\nview = "127.0.0.1:%d"\nzone = "here"\n\n[fleet.regions]\nhome = ["here"]\n'


class ToyView:
    """Lists the fleet in discovery's form, and stamps a heartbeat on each watch."""

    def __init__(self, port: int, listens: dict[str, int]) -> None:
        self.port = port
        self.members = [
            {
                "id": name,
                "host_port": f"127.0.0.1:{listen}",
                "locality": "here",
                "flavor": "home",
                "phase": "Ready",
                "up_since_ms": 0,
            }
            for name, listen in listens.items()
        ]
        threading.Thread(target=lambda: asyncio.run(self.serve()), daemon=True).start()

    def line(self, complete: bool) -> bytes:
        """The list, or a bare heartbeat, with the time at which it is issued."""
        told = {"revision": 1, "complete": complete, "members": self.members if complete else []}
        return json.dumps({**told, "issued_ms": time.time_ns() // 1_000_000}).encode() + b"\n"

    async def serve(self) -> None:
        """Answer for ever."""
        server = await asyncio.start_server(self.client, "127.0.0.1", self.port)
        await server.serve_forever()

    async def client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One dispatcher."""
        try:
            while b"stream=1" not in await reader.readuntil(b"\r\n\r\n"):
                body = self.line(True)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                body = self.line(False)
                writer.write(b"%x\r\n%s\r\n" % (len(body), body))
                await writer.drain()
                await asyncio.sleep(BEAT)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


def configuration(
    folder: Path, name: str, listen: int, management: int, discovery: int, view: int
) -> list[str]:
    """The files of one dispatcher; the words that name them."""
    told = json.loads((HERE / "config.json").read_text()) | {
        "name": name,
        "listen": f"127.0.0.1:{listen}",
        "management": f"127.0.0.1:{management}",
        "discovery": f"127.0.0.1:{discovery}",
        "state": str(folder / name),
    }
    told.pop("known", None)  # the list comes from discovery, and only what is owned is kept of it
    (folder / f"{name}.json").write_text(json.dumps(told))
    (folder / f"{name}.toml").write_text(OPERATOR % view)
    return ["--config", str(folder / f"{name}.json"), "--operator", str(folder / f"{name}.toml")]


def told(*words: str) -> subprocess.CompletedProcess[str]:
    """What a command prints."""
    command = [sys.executable, "-m", "honeyhitch", *words]
    return subprocess.run(
        command, cwd=HERE.parent, capture_output=True, text=True, timeout=STEP_TIMEOUT_SECONDS
    )


def handed_in(listen: int, body: str) -> bool:
    """Hand a message in until it is accepted: the list of destinations may still be on its way."""
    until = time.monotonic() + STEP_TIMEOUT_SECONDS
    while time.monotonic() < until:
        answer = told("send", f"127.0.0.1:{listen}", body, "--dest", "1", "--tenant", "studio")
        if answer.returncode == 0:
            print(f"hand-in     {body}: {answer.stdout.strip()}", flush=True)
            return True
        time.sleep(0.2)
    print(answer.stdout, answer.stderr)
    return False


def main() -> int:
    """Try it; the exit code."""
    discovery, partner, view, *ports = free_ports(3 + 2 * len(NAMES))
    listens = dict(zip(NAMES, ports[: len(NAMES)], strict=True))
    management = dict(zip(NAMES, ports[len(NAMES) :], strict=True))
    ToyView(view, listens)
    toy = subprocess.Popen(
        [sys.executable, str(HERE / "toy.py"), str(discovery), str(partner)],
        stdout=subprocess.PIPE,
        text=True,
    )
    programs = list[subprocess.Popen[str]]()
    with tempfile.TemporaryDirectory() as folder:
        try:
            for name in NAMES:
                words = configuration(Path(folder), name, listens[name], management[name], discovery, view)
                command = [sys.executable, "-m", "honeyhitch", "serve", *words]
                programs.append(subprocess.Popen(command, cwd=HERE.parent, text=True))
            if not all(
                wait_until_serving(listens[name], one) for name, one in zip(NAMES, programs, strict=True)
            ):
                print("a dispatcher does not answer")
                return 1
            assert toy.stdout is not None
            for name in NAMES:
                if not handed_in(listens[name], f"hello by way of {name}"):
                    return 1
                if not print_until(toy.stdout, f"hello by way of {name}"):
                    return 1
            owners = told("fleet", "owner", "1", "--at", f"127.0.0.1:{management['one']}")
            print(owners.stdout.strip() or owners.stderr.strip(), flush=True)
            if owners.returncode:
                return 1
            print("delivered, each by its owner")
            return 0
        finally:
            for program in (*programs, toy):
                program.terminate()
                program.wait(STEP_TIMEOUT_SECONDS)


if __name__ == "__main__":
    sys.exit(main())
