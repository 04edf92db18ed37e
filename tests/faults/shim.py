"""The shim that makes system calls of a process fail; `syscalls.c` is its code."""

from __future__ import annotations

import mmap
import os
import struct
import subprocess
from enum import IntEnum
from functools import cache
from pathlib import Path
from tempfile import mkdtemp

SOURCE = Path(__file__).parent / "syscalls.c"
MILLION = 1_000_000


class Fault(IntEnum):
    """A number in the file of faults, in the order of `enum fault` in syscalls.c."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    WAIT = 3
    SHORT_READ = 4
    SHORT_WRITE = 5
    BROKEN_CONNECTION = 6
    FILE_WRITE = 7
    FILE_SHORT_WRITE = 8
    FILE_OTHER = 9  # fsync, ftruncate, rename, and open with O_CREAT
    KILL_IN_FILE_WRITE = 10
    WALL_CLOCK_STEP = 11


@cache
def shim_library() -> Path:
    """Return the path of the compiled shim."""
    library = Path(mkdtemp(prefix="shim-")) / "syscalls.so"
    command = ["cc", "-shared", "-fPIC", "-O1", "-Wall", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    return library


class Shim:
    """The faults of one process, which a test changes while the process runs."""

    def __init__(self, path: Path) -> None:
        path.write_bytes(bytes(8 * len(Fault)))
        self.path = path
        with path.open("r+b") as file:
            self.numbers = mmap.mmap(file.fileno(), 8 * len(Fault))

    @property
    def environment(self) -> dict[str, str]:
        """The environment of a process that runs with these faults."""
        return {**os.environ, "LD_PRELOAD": str(shim_library()), "FAULT_FILE": str(self.path)}

    def set_probability(self, fault: Fault, probability: float) -> None:
        self._write(fault, int(probability * MILLION))

    def step_wall_clock(self, nanoseconds: int) -> None:
        """Set by how much the process's wall clock differs from the machine's."""
        self._write(Fault.WALL_CLOCK_STEP, nanoseconds)

    def clear(self) -> None:
        """End all faults but the step of the wall clock."""
        for fault in Fault:
            if fault is not Fault.WALL_CLOCK_STEP:
                self._write(fault, 0)

    def _write(self, fault: Fault, number: int) -> None:
        struct.pack_into("<q", self.numbers, 8 * fault, number)
