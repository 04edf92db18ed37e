"""Entry point of `python -m honeyhitch`."""

import signal
import sys

if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        # Signals that arrive while the modules load wait until the service has installed its handlers.
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
    from honeyhitch.cli.main import main

    main(prog_name="honeyhitch")
