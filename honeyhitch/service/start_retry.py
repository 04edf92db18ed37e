"""Repeats steps of a start that fail for a moment, so that the process does not end for it."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from honeyhitch import logs

log = logs.get_logger()
RETRY_SECONDS = 0.05
LIMIT_SECONDS = 20.0  # for all steps together; a process has 30 s to become ready
TRANSIENT_ERRORS = frozenset(
    {
        errno.EAGAIN,
        errno.EDQUOT,
        errno.EINTR,
        errno.EIO,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,
    }
)
Result = TypeVar("Result")


class StartRetry:
    """The time that all steps of one start together may take."""

    def __init__(self) -> None:
        self.ends_at = time.monotonic() + LIMIT_SECONDS

    def run(self, step: Callable[[], Result], name: str) -> Result:
        """Return the result of a step; repeat the step while it fails for a transient reason.

        Raise the step's OSError if it has another reason, or if the time is over.
        """
        while True:
            try:
                return step()
            except OSError as error:
                if error.errno not in TRANSIENT_ERRORS or time.monotonic() >= self.ends_at:
                    raise
                log.warning("start.delayed", step=name, error=str(error), key=name)
            time.sleep(RETRY_SECONDS)
