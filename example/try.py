"""Start the toy and a dispatcher on free ports, submit one message, and show that the toy received it.

    python example/try.py [--tls | --undelivered]

The exit code is 0 if the message was delivered. `make try` creates the Python environment and runs this
script. With `--tls` the toy uses TLS with a certificate made for this run, and the dispatcher verifies that
certificate; `make try-tls` also installs the packages that this needs. With `--undelivered` the toy rejects
the message until the message ends undelivered; the dispatcher stores the message, lists it, and resends it by
a rule after the toy has been told to accept calls; `make try-undelivered` runs this case.
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

BODY = "hello from make try"


def write_certificate(folder: str) -> tuple[list[str], list[str]]:
    """Write a self-signed certificate and key for the toy, and an operator's file that trusts it.

    Return the arguments of the toy and the options of the dispatcher that name these files.
    """
    import datetime
    import ipaddress

    from cryptography import x509
    from cryptography.hazmat.primitives import hashes, serialization
    from cryptography.hazmat.primitives.asymmetric import ec

    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.datetime.now(datetime.UTC)
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "toy partner")])
    alternative_names = x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))])
    builder = x509.CertificateBuilder().subject_name(name).issuer_name(name).public_key(key.public_key())
    builder = builder.serial_number(x509.random_serial_number()).add_extension(alternative_names, False)
    builder = builder.not_valid_before(now).not_valid_after(now + datetime.timedelta(days=1))
    certificate_pem = builder.sign(key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
    key_format = serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    files = [f"{folder}/toy.crt", f"{folder}/toy.key"]
    Path(files[0]).write_bytes(certificate_pem)
    Path(files[1]).write_bytes(key.private_bytes(serialization.Encoding.PEM, *key_format))
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


def write_rules(folder: str) -> list[str]:
    """Write an operator's file with a store and a resend rule. Return the options that name the file."""
    operator = Path(folder, "operator.toml")
    operator.write_text(RULES)
    return ["--operator", str(operator)]


def wait_until_listed(command: list[str], status: str) -> bool:
    """Wait until the store lists a message with this status, and print the listing.

    Return False if there is none within `STEP_TIMEOUT_SECONDS`.
    """
    deadline = time.monotonic() + STEP_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        list_command = [*command, "list", "--standing", status]
        listing = subprocess.run(
            list_command, cwd=HERE.parent, capture_output=True, text=True, timeout=STEP_TIMEOUT_SECONDS
        )
        if status in listing.stdout:
            print("\n".join(f"store       {line}" for line in listing.stdout.splitlines()), flush=True)
            return True
        time.sleep(0.2)
    print(f"no message is {status}: {listing.stdout}{listing.stderr}")
    return False


def main() -> int:
    """Run the example. Return the exit code."""
    listen, discovery, endpoint, management = free_ports(4)
    config = json.loads((HERE / "config.json").read_text())
    with tempfile.TemporaryDirectory() as folder:
        config |= {
            "listen": f"127.0.0.1:{listen}",
            "discovery": f"127.0.0.1:{discovery}",
            "management": f"127.0.0.1:{management}",
            "state": f"{folder}/state",
        }
        path = Path(folder, "config.json")
        path.write_text(json.dumps(config))
        toy_arguments, options = write_certificate(folder) if "--tls" in sys.argv[1:] else ([], [])
        endpoint_fails = "--undelivered" in sys.argv[1:]
        if endpoint_fails:
            toy_arguments, options = ["--fails"], write_rules(folder)
        toy = subprocess.Popen(
            [sys.executable, str(HERE / "toy.py"), str(discovery), str(endpoint), *toy_arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        command = [sys.executable, "-m", "honeyhitch"]
        dispatcher = subprocess.Popen(
            [*command, "serve", "--config", str(path), *options], cwd=HERE.parent, text=True
        )
        try:
            assert toy.stdout is not None
            if not wait_until_serving(listen, dispatcher):
                print("the dispatcher does not answer")
                return 1
            print(f"dispatcher  serves clients on 127.0.0.1:{listen}", flush=True)
            lifetime = ["--left", "700"] if endpoint_fails else []
            send_result = subprocess.run(
                [
                    *command,
                    "send",
                    f"127.0.0.1:{listen}",
                    BODY,
                    "--dest",
                    "1",
                    "--tenant",
                    "studio",
                    *lifetime,
                ],
                cwd=HERE.parent,
                capture_output=True,
                text=True,
                timeout=STEP_TIMEOUT_SECONDS,
            )
            print(f"hand-in     {send_result.stdout.strip() or send_result.stderr.strip()}", flush=True)
            if send_result.returncode:
                return 1
            store_command = [*command, "undelivered", "--config", str(path), *options]
            if endpoint_fails:
                if not print_until(toy.stdout, "notice") or not wait_until_listed(store_command, "kept"):
                    return 1
                toy.send_signal(signal.SIGUSR1)
                print("toy         is mended; the rule resends what is safe", flush=True)
            if not print_until(toy.stdout, BODY) or (
                endpoint_fails and not wait_until_listed(store_command, "settled")
            ):
                return 1
            stats_command = [*command, "stats", "--config", str(path)]
            stats_result = subprocess.run(
                stats_command, cwd=HERE.parent, capture_output=True, text=True, timeout=STEP_TIMEOUT_SECONDS
            )
            print(stats_result.stdout.strip() or stats_result.stderr.strip(), flush=True)
            if stats_result.returncode:
                return 1
            print("delivered")
            return 0
        finally:
            for program in (dispatcher, toy):
                program.send_signal(signal.SIGTERM)
                program.wait(STEP_TIMEOUT_SECONDS)


if __name__ == "__main__":
    sys.exit(main())
