"""Entry point of `python -m honeyhitch.wirehost`, named in the deploy file; see `simulator_host`."""

import sys

from honeyhitch.simulator_host.host import main

if __name__ == "__main__":
    sys.exit(main())
