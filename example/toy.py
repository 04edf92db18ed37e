"""A toy endpoint and a toy discovery in one process, with which to try the dispatcher.

It prints each message and each notice that it receives, and rejects every third call with a Retry-After of
half a second, so that the dispatcher can be seen to wait. Start it with `python example/toy.py`; two numbers
after that are the ports of the discovery and of the endpoint, two files after them the certificate and key
with which the endpoint speaks TLS. With `--fails` the endpoint rejects everything until SIGUSR1 repairs it,
so that a message ends undelivered.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import ssl
import sys

ARGUMENTS = [argument for argument in sys.argv[1:] if argument != "--fails"]
DISCOVERY, ENDPOINT = map(int, ARGUMENTS[:2]) if len(ARGUMENTS) >= 2 else (8500, 9001)
CERTIFICATE = ARGUMENTS[2:4]
MEMBERS = [
    {
        "id": "toy-1",
        "host_port": f"127.0.0.1:{ENDPOINT}",
        "locality": "here",
        "flavor": "partner",
        "cell": 1,
        "phase": "Ready",
        "size": 10.0,
        "up_since_ms": 0,
    }
]
LIST = json.dumps({"revision": 1, "complete": True, "members": MEMBERS}).encode() + b"\n"


async def read(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """One request: its path, its headers and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:])}
    return head[0].split(" ")[1], headers, await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status: str, body: bytes = b"", more: str = "") -> bytes:
    """The bytes of one HTTP response."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


calls = itertools.count(1)
repaired = asyncio.Event()


async def endpoint(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Accept or reject messages on one connection."""
    while True:
        path, headers, body = await read(reader)
        number = next(calls)
        if not repaired.is_set():
            print(f"call {number}: turned away, the partner is out of order", flush=True)
            writer.write(answer("503 Service Unavailable"))
        elif number % 3 == 0:
            print(f"call {number}: turned away, come back in 0.5 s", flush=True)
            writer.write(answer("429 Too Many Requests", more="Retry-After: 0.5\r\n"))
        elif path.endswith(":batch"):
            print(f"call {number}: a batch {body!r}", flush=True)
            names = [line.split()[0] for line in body.decode().split("\r\n")[:-1:2]]
            writer.write(answer("200 OK", "".join(f"{name} accepted\r\n" for name in names).encode()))
        else:
            print(f"call {number}: {headers.get('x-txn')} {body!r}", flush=True)
            writer.write(answer("200 OK"))


async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Give the list, once or on a watch, which stays open; accept notices."""
    while True:
        path, _, body = await read(reader)
        if path == "/reports":
            print(f"notice: {body.decode().strip()}", flush=True)
            writer.write(answer("204 No Content"))
            continue
        if "stream=1" not in path:
            writer.write(answer("200 OK", LIST))
            continue
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%s\r\n" % (len(LIST), LIST))
        while True:
            await asyncio.sleep(2)
            writer.write(b"1\r\n\n\r\n")
            await writer.drain()


async def main() -> None:
    """Serve both until interrupted."""
    if "--fails" not in sys.argv:
        repaired.set()
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, repaired.set)

    def ignore_disconnects(serve):  # type: ignore[no-untyped-def]
        async def session(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await serve(reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                writer.close()

        return session

    secure = None
    if CERTIFICATE:
        secure = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        secure.load_cert_chain(*CERTIFICATE)
    await asyncio.start_server(ignore_disconnects(endpoint), "127.0.0.1", ENDPOINT, ssl=secure)
    await asyncio.start_server(ignore_disconnects(discovery), "127.0.0.1", DISCOVERY)
    print(f"partner 1 at 127.0.0.1:{ENDPOINT}, discovery at 127.0.0.1:{DISCOVERY}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        sys.exit(0)
