"""Two dispatchers that share the destinations: a message sent to either is delivered by its owner.

It starts the toy endpoint, a toy list of the fleet and two dispatchers on free ports. `make try-fleet` makes
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
HEARTBEAT_SECONDS = 0.5
OPERATOR = '[fleet]\nview = "127.0.0.1:%d"\nzone = "here"\n\n[fleet.regions]\nhome = ["here"]\n'


class ToyView:
    """Lists the fleet in discovery's form, and sends heartbeats on each watch."""

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
        update = {"revision": 1, "complete": complete, "members": self.members if complete else []}
        return json.dumps({**update, "issued_ms": time.time_ns() // 1_000_000}).encode() + b"\n"

    async def serve(self) -> None:
        """Serve until the process ends."""
        server = await asyncio.start_server(self.client, "127.0.0.1", self.port)
        await server.serve_forever()

    async def client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reply to one dispatcher."""
        try:
            while b"stream=1" not in await reader.readuntil(b"\r\n\r\n"):
                body = self.line(True)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                body = self.line(False)
                writer.write(b"%x\r\n%s\r\n" % (len(body), body))
                await writer.drain()
                await asyncio.sleep(HEARTBEAT_SECONDS)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


def configuration(
    folder: Path, name: str, listen: int, management: int, discovery: int, view: int
) -> list[str]:
    """Write the files of one dispatcher; returns the options that name them."""
    config = json.loads((HERE / "config.json").read_text()) | {
        "name": name,
        "listen": f"127.0.0.1:{listen}",
        "management": f"127.0.0.1:{management}",
        "discovery": f"127.0.0.1:{discovery}",
        "state": str(folder / name),
    }
    config.pop("known", None)  # the list comes from discovery; only what this instance may own is kept
    (folder / f"{name}.json").write_text(json.dumps(config))
    (folder / f"{name}.toml").write_text(OPERATOR % view)
    return ["--config", str(folder / f"{name}.json"), "--operator", str(folder / f"{name}.toml")]


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a command of the dispatcher to its end."""
    command = [sys.executable, "-m", "honeyhitch", *arguments]
    return subprocess.run(
        command, cwd=HERE.parent, capture_output=True, text=True, timeout=STEP_TIMEOUT_SECONDS
    )


def send_until_accepted(listen: int, body: str) -> bool:
    """Send a message until it is accepted: the list of destinations may not have arrived yet."""
    deadline = time.monotonic() + STEP_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        result = run_command("send", f"127.0.0.1:{listen}", body, "--dest", "1", "--tenant", "studio")
        if result.returncode == 0:
            print(f"hand-in     {body}: {result.stdout.strip()}", flush=True)
            return True
        time.sleep(0.2)
    print(result.stdout, result.stderr)
    return False


def main() -> int:
    """Run the example; returns the exit code."""
    discovery, endpoint, view, *ports = free_ports(3 + 2 * len(NAMES))
    listens = dict(zip(NAMES, ports[: len(NAMES)], strict=True))
    management = dict(zip(NAMES, ports[len(NAMES) :], strict=True))
    ToyView(view, listens)
    toy = subprocess.Popen(
        [sys.executable, str(HERE / "toy.py"), str(discovery), str(endpoint)],
        stdout=subprocess.PIPE,
        text=True,
    )
    programs = list[subprocess.Popen[str]]()
    with tempfile.TemporaryDirectory() as folder:
        try:
            for name in NAMES:
                options = configuration(Path(folder), name, listens[name], management[name], discovery, view)
                command = [sys.executable, "-m", "honeyhitch", "serve", *options]
                programs.append(subprocess.Popen(command, cwd=HERE.parent, text=True))
            if not all(
                wait_until_serving(listens[name], program)
                for name, program in zip(NAMES, programs, strict=True)
            ):
                print("a dispatcher does not answer")
                return 1
            assert toy.stdout is not None
            for name in NAMES:
                if not send_until_accepted(listens[name], f"hello by way of {name}"):
                    return 1
                if not print_until(toy.stdout, f"hello by way of {name}"):
                    return 1
            owners = run_command("fleet", "owner", "1", "--at", f"127.0.0.1:{management['one']}")
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
