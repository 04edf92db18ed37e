"""`python -m honeyhitch`."""

from honeyhitch.lifecycle.cli import main

if __name__ == "__main__":
    main(prog_name="honeyhitch")
