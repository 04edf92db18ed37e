"""Runs one play of a case within its time, and turns its verdict into the exit code."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from .record import RecordFile

LIMIT_SECONDS = 110.0  # a case may run for 120 s
COULD_NOT_RUN = 2


def run(folder: Path, play: Callable[[Path, RecordFile], Awaitable[int]]) -> None:
    """Exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = RecordFile(folder / "record.txt")

    async def limited(state: Path) -> int:
        async with asyncio.timeout(LIMIT_SECONDS):
            return await play(state, record)

    with tempfile.TemporaryDirectory() as state:
        try:
            code = asyncio.run(limited(Path(state)))
        except Exception as error:
            record.write(f"could not run: {type(error).__name__}: {error}")
            code = COULD_NOT_RUN
    record.write(f"exit {code}")
    sys.exit(code)
