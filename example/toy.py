"""A toy endpoint and a toy discovery agent in one process, for trying out the dispatcher.

    python example/toy.py [DISCOVERY_PORT ENDPOINT_PORT [CERTIFICATE KEY]] [--fails]

The toy prints each message and each notice that it receives. It rejects every third call with a Retry-After
of 0.5 s, to show that the dispatcher waits. With the files CERTIFICATE and KEY the endpoint uses TLS. With
`--fails` the endpoint rejects every call until the process receives SIGUSR1, so that a message ends
undelivered.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import ssl
import sys

ARGUMENTS = [argument for argument in sys.argv[1:] if argument != "--fails"]
DISCOVERY_PORT, ENDPOINT_PORT = map(int, ARGUMENTS[:2]) if len(ARGUMENTS) >= 2 else (8500, 9001)
CERTIFICATE_FILES = ARGUMENTS[2:4]  # the certificate and its key
LISTED_ENDPOINTS = [
    {
        "id": "toy-1",
        "host_port": f"127.0.0.1:{ENDPOINT_PORT}",
        "locality": "here",
        "flavor": "partner",
        "cell": 1,
        "phase": "Ready",
        "size": 10.0,
        "up_since_ms": 0,
    }
]
COMPLETE_LIST = json.dumps({"revision": 1, "complete": True, "members": LISTED_ENDPOINTS}).encode() + b"\n"


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one request. Return its path, its headers by lower-case name, and its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:])}
    return head[0].split(" ")[1], headers, await reader.readexactly(int(headers.get("content-length", "0")))


def encode_response(status: str, body: bytes = b"", header_lines: str = "") -> bytes:
    """Return one HTTP response; each of `header_lines` ends with CRLF."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{header_lines}\r\n".encode() + body


call_numbers = itertools.count(1)
repaired = asyncio.Event()


async def serve_endpoint(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Accept or reject the calls on one connection."""
    while True:
        path, headers, body = await read_request(reader)
        number = next(call_numbers)
        if not repaired.is_set():
            print(f"call {number}: turned away, the partner is out of order", flush=True)
            writer.write(encode_response("503 Service Unavailable"))
        elif number % 3 == 0:
            print(f"call {number}: turned away, come back in 0.5 s", flush=True)
            writer.write(encode_response("429 Too Many Requests", header_lines="Retry-After: 0.5\r\n"))
        elif path.endswith(":batch"):
            print(f"call {number}: a batch {body!r}", flush=True)
            message_ids = [line.split()[0] for line in body.decode().split("\r\n")[:-1:2]]
            writer.write(
                encode_response(
                    "200 OK", "".join(f"{message_id} accepted\r\n" for message_id in message_ids).encode()
                )
            )
        else:
            print(f"call {number}: {headers.get('x-txn')} {body!r}", flush=True)
            writer.write(encode_response("200 OK"))


async def serve_discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reply to requests for the list, to watches and to notices on one connection.

    A watch stays open and gets a heartbeat every 2 s.
    """
    while True:
        path, _, body = await read_request(reader)
        if path == "/reports":
            print(f"notice: {body.decode().strip()}", flush=True)
            writer.write(encode_response("204 No Content"))
            continue
        if "stream=1" not in path:
            writer.write(encode_response("200 OK", COMPLETE_LIST))
            continue
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%s\r\n" % (len(COMPLETE_LIST), COMPLETE_LIST))
        while True:
            await asyncio.sleep(2)
            writer.write(b"1\r\n\n\r\n")
            await writer.drain()


async def main() -> None:
    """Serve the endpoint and discovery until interrupted."""
    if "--fails" not in sys.argv:
        repaired.set()
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, repaired.set)

    def ignore_disconnects(serve):  # type: ignore[no-untyped-def]
        async def handle_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await serve(reader, writer)
            except (OSError, asyncio.IncompleteReadError):
                writer.close()

        return handle_connection

    tls_context = None
    if CERTIFICATE_FILES:
        tls_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        tls_context.load_cert_chain(*CERTIFICATE_FILES)
    await asyncio.start_server(
        ignore_disconnects(serve_endpoint), "127.0.0.1", ENDPOINT_PORT, ssl=tls_context
    )
    await asyncio.start_server(ignore_disconnects(serve_discovery), "127.0.0.1", DISCOVERY_PORT)
    print(f"partner 1 at 127.0.0.1:{ENDPOINT_PORT}, discovery at 127.0.0.1:{DISCOVERY_PORT}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        sys.exit(0)
