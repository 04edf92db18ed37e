"""Run two dispatchers that share the destinations; the owner of a destination delivers its messages.

The script starts the toy endpoint, a toy agent that lists the fleet, and two dispatchers on free ports, and
submits one message to each dispatcher. `make try-fleet` creates the Python environment and runs this script.
The exit code is 0 if both messages were delivered.
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

INSTANCE_NAMES = ("one", "two")
HEARTBEAT_SECONDS = 0.5
OPERATOR_TEMPLATE = '[fleet]\nview = "127.0.0.1:%d"\nzone = "here"\n\n[fleet.regions]\nhome = ["here"]\n'


class ToyView:
    """An agent that lists the fleet in the format of discovery, and sends heartbeats on each watch."""

    def __init__(self, port: int, listen_ports: dict[str, int]) -> None:
        self.port = port
        self.instances = [
            {
                "id": name,
                "host_port": f"127.0.0.1:{listen}",
                "locality": "here",
                "flavor": "home",
                "phase": "Ready",
                "up_since_ms": 0,
            }
            for name, listen in listen_ports.items()
        ]
        threading.Thread(target=lambda: asyncio.run(self.serve()), daemon=True).start()

    def encode_update(self, complete: bool) -> bytes:
        """Return the complete list, or a heartbeat without entries, with the time at which it is issued."""
        update = {"revision": 1, "complete": complete, "members": self.instances if complete else []}
        return json.dumps({**update, "issued_ms": time.time_ns() // 1_000_000}).encode() + b"\n"

    async def serve(self) -> None:
        """Serve until the process ends."""
        server = await asyncio.start_server(self.serve_client, "127.0.0.1", self.port)
        await server.serve_forever()

    async def serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reply with the list until the dispatcher opens a watch, then send heartbeats on the watch."""
        try:
            while b"stream=1" not in await reader.readuntil(b"\r\n\r\n"):
                body = self.encode_update(True)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                body = self.encode_update(False)
                writer.write(b"%x\r\n%s\r\n" % (len(body), body))
                await writer.drain()
                await asyncio.sleep(HEARTBEAT_SECONDS)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


def write_configuration(
    folder: Path, name: str, listen_port: int, management_port: int, discovery_port: int, view_port: int
) -> list[str]:
    """Write the configuration and operator's file of one dispatcher. Return the options that name them."""
    config = json.loads((HERE / "config.json").read_text()) | {
        "name": name,
        "listen": f"127.0.0.1:{listen_port}",
        "management": f"127.0.0.1:{management_port}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "state": str(folder / name),
    }
    # The list comes from discovery; the instance keeps only the destinations that it may own.
    config.pop("known", None)
    (folder / f"{name}.json").write_text(json.dumps(config))
    (folder / f"{name}.toml").write_text(OPERATOR_TEMPLATE % view_port)
    return ["--config", str(folder / f"{name}.json"), "--operator", str(folder / f"{name}.toml")]


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a honeyhitch command until it ends."""
    command = [sys.executable, "-m", "honeyhitch", *arguments]
    return subprocess.run(
        command, cwd=HERE.parent, capture_output=True, text=True, timeout=STEP_TIMEOUT_SECONDS
    )


def send_until_accepted(listen_port: int, body: str) -> bool:
    """Submit a message until it is accepted. Return False if that takes over `STEP_TIMEOUT_SECONDS`.

    The dispatcher may not have received the list of destinations when it starts to serve.
    """
    deadline = time.monotonic() + STEP_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        result = run_command("send", f"127.0.0.1:{listen_port}", body, "--dest", "1", "--tenant", "studio")
        if result.returncode == 0:
            print(f"hand-in     {body}: {result.stdout.strip()}", flush=True)
            return True
        time.sleep(0.2)
    print(result.stdout, result.stderr)
    return False


def main() -> int:
    """Run the example. Return the exit code."""
    discovery_port, endpoint_port, view_port, *ports = free_ports(3 + 2 * len(INSTANCE_NAMES))
    listen_ports = dict(zip(INSTANCE_NAMES, ports[: len(INSTANCE_NAMES)], strict=True))
    management_ports = dict(zip(INSTANCE_NAMES, ports[len(INSTANCE_NAMES) :], strict=True))
    ToyView(view_port, listen_ports)
    toy = subprocess.Popen(
        [sys.executable, str(HERE / "toy.py"), str(discovery_port), str(endpoint_port)],
        stdout=subprocess.PIPE,
        text=True,
    )
    programs = list[subprocess.Popen[str]]()
    with tempfile.TemporaryDirectory() as folder:
        try:
            for name in INSTANCE_NAMES:
                options = write_configuration(
                    Path(folder), name, listen_ports[name], management_ports[name], discovery_port, view_port
                )
                command = [sys.executable, "-m", "honeyhitch", "serve", *options]
                programs.append(subprocess.Popen(command, cwd=HERE.parent, text=True))
            if not all(
                wait_until_serving(listen_ports[name], program)
                for name, program in zip(INSTANCE_NAMES, programs, strict=True)
            ):
                print("a dispatcher does not answer")
                return 1
            assert toy.stdout is not None
            for name in INSTANCE_NAMES:
                if not send_until_accepted(listen_ports[name], f"hello by way of {name}"):
                    return 1
                if not print_until(toy.stdout, f"hello by way of {name}"):
                    return 1
            owners = run_command("fleet", "owner", "1", "--at", f"127.0.0.1:{management_ports['one']}")
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
