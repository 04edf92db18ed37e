"""Entry point of `python -m honeyhitch`."""

from honeyhitch.cli.main import main

if __name__ == "__main__":
    main(prog_name="honeyhitch")
