"""Starts the toy and a dispatcher on free ports, hands one message in, and shows that the toy received it.

It needs the environment only; `make try` makes that first. Exit code 0 once the message was delivered. With
`--tls` the toy speaks TLS with a certificate made for the occasion, which the dispatcher verifies; `make
try-tls` installs what that needs. With `--undelivered` the toy turns the message away till it ends
undelivered: it is kept, listed, and resent by a rule once the toy has been mended; `make try-undelivered`
does that.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).parent
sys.path.insert(0, str(HERE.parent))
from example.parts import STEP_TIMEOUT_SECONDS, free_ports, print_until, wait_until_serving  # noqa: E402

HELLO = "hello from make try"


def certificate(folder: str) -> tuple[list[str], list[str]]:
    """A certificate and key for the toy, which vouch for themselves; and the dispatcher's words for it."""
    import datetime
    import ipaddress

    from cryptography import x509
    from cryptography.hazmat.primitives import hashes, serialization
    from cryptography.hazmat.primitives.asymmetric import ec

    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.datetime.now(datetime.UTC)
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "toy partner")])
    names = x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))])
    builder = x509.CertificateBuilder().subject_name(name).issuer_name(name).public_key(key.public_key())
    builder = builder.serial_number(x509.random_serial_number()).add_extension(names, False)
    builder = builder.not_valid_before(now).not_valid_after(now + datetime.timedelta(days=1))
    made = builder.sign(key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
    form = serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    files = [f"{folder}/toy.crt", f"{folder}/toy.key"]
    Path(files[0]).write_bytes(made)
    Path(files[1]).write_bytes(key.private_bytes(serialization.Encoding.PEM, *form))
    operator = Path(folder, "operator.toml")
    operator.write_text(f'[[tls.partner]]\nkind = "partner"\nca = "{files[0]}"\nwarn-days = 0\n')
    return files, ["--operator", str(operator)]


RULES = """
[undelivered]
copy-grace = 1

[[undelivered.rule]]
name = "try again"
action = "resend"
healthy = 1
"""


def rules(folder: str) -> list[str]:
    """An operator's file that has undelivered messages kept and resent; the dispatcher's words for it."""
    operator = Path(folder, "operator.toml")
    operator.write_text(RULES)
    return ["--operator", str(operator)]


def listed(command: list[str], standing: str) -> bool:
    """Wait till a message stands so in the store, and show it."""
    until = time.monotonic() + STEP_TIMEOUT_SECONDS
    while time.monotonic() < until:
        asked = [*command, "list", "--standing", standing]
        told = subprocess.run(
            asked, cwd=HERE.parent, capture_output=True, text=True, timeout=STEP_TIMEOUT_SECONDS
        )
        if standing in told.stdout:
            print("\n".join(f"store       {line}" for line in told.stdout.splitlines()), flush=True)
            return True
        time.sleep(0.2)
    print(f"no message is {standing}: {told.stdout}{told.stderr}")
    return False


def main() -> int:
    """Try it; the exit code."""
    listen, discovery, partner, management = free_ports(4)
    told = json.loads((HERE / "config.json").read_text())
    with tempfile.TemporaryDirectory() as folder:
        told |= {
            "listen": f"127.0.0.1:{listen}",
            "discovery": f"127.0.0.1:{discovery}",
            "management": f"127.0.0.1:{management}",
            "state": f"{folder}/state",
        }
        path = Path(folder, "config.json")
        path.write_text(json.dumps(told))
        files, words = certificate(folder) if "--tls" in sys.argv[1:] else ([], [])
        fails = "--undelivered" in sys.argv[1:]
        if fails:
            files, words = ["--fails"], rules(folder)
        toy = subprocess.Popen(
            [sys.executable, str(HERE / "toy.py"), str(discovery), str(partner), *files],
            stdout=subprocess.PIPE,
            text=True,
        )
        command = [sys.executable, "-m", "honeyhitch"]
        dispatcher = subprocess.Popen(
            [*command, "serve", "--config", str(path), *words], cwd=HERE.parent, text=True
        )
        try:
            assert toy.stdout is not None
            if not wait_until_serving(listen, dispatcher):
                print("the dispatcher does not answer")
                return 1
            print(f"dispatcher  serves clients on 127.0.0.1:{listen}", flush=True)
            left = ["--left", "700"] if fails else []
            handed_in = subprocess.run(
                [*command, "send", f"127.0.0.1:{listen}", HELLO, "--dest", "1", "--tenant", "studio", *left],
                cwd=HERE.parent,
                capture_output=True,
                text=True,
                timeout=STEP_TIMEOUT_SECONDS,
            )
            print(f"hand-in     {handed_in.stdout.strip() or handed_in.stderr.strip()}", flush=True)
            if handed_in.returncode:
                return 1
            store = [*command, "undelivered", "--config", str(path), *words]
            if fails:
                if not print_until(toy.stdout, "notice") or not listed(store, "kept"):
                    return 1
                toy.send_signal(signal.SIGUSR1)
                print("toy         is mended; the rule resends what is safe", flush=True)
            if not print_until(toy.stdout, HELLO) or (fails and not listed(store, "settled")):
                return 1
            stats = [*command, "stats", "--config", str(path)]
            figures = subprocess.run(
                stats, cwd=HERE.parent, capture_output=True, text=True, timeout=STEP_TIMEOUT_SECONDS
            )
            print(figures.stdout.strip() or figures.stderr.strip(), flush=True)
            if figures.returncode:
                return 1
            print("delivered")
            return 0
        finally:
            for program in (dispatcher, toy):
                program.send_signal(signal.SIGTERM)
                program.wait(STEP_TIMEOUT_SECONDS)


if __name__ == "__main__":
    sys.exit(main())
