"""Entry point of `python -m honeyhitch.wirehost`, which the deploy file names; see `simulator_host`."""

import sys

from honeyhitch.simulator_host.host import main

if __name__ == "__main__":
    sys.exit(main())
