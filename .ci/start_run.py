"""Starts the program with the given command, waits until it serves, and ends it with SIGTERM."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))
from tests.program import SETTINGS, free_port

with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as discovery:
    port = free_port()
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery.getsockname()[1]}",
        "state": f"{folder}/state",
        "settings": SETTINGS,
    }
    Path(folder, "config.json").write_text(json.dumps(config))
    environ = {**os.environ, "ROUTER_CONFIG": f"{folder}/config.json", "TMPDIR": folder}
    program = subprocess.Popen(["/bin/sh", "-c", sys.argv[1]], env=environ)
    answer = b""
    for _ in range(600):
        if program.poll() is not None:
            break
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=5) as client:
                client.sendall(b"*1\r\n$4\r\nPING\r\n")
                answer = client.recv(16)
                break
        except OSError:
            time.sleep(0.1)
    program.send_signal(signal.SIGTERM)
    code = program.wait(30)
    print(f"run: answered {answer!r}, exit code {code}")
    sys.exit(0 if answer == b"+PONG\r\n" and code == 0 else 1)
