"""Opens the state directory of a service: its slot, its clock and its journal.

`retry` repeats each step while it fails for a reason that may pass.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from honeyhitch import logs
from honeyhitch.config import Config, ConfigError
from honeyhitch.journal.clock_anchor import AnchorFile, ClockAnchor, stored_anchor
from honeyhitch.journal.directory import StateDirectory, StateDirectoryInUseError
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.journal_file import JournalVersionError
from honeyhitch.journal.process_record import ProcessDescription
from honeyhitch.journal.settings_names import SettingsNames
from honeyhitch.journal.transactions import Transaction
from honeyhitch.service.peer_check import (
    check_address,
    check_running_process,
    shared_addresses,
    unshareable_features,
)
from honeyhitch.service.start_retry import StartRetry
from honeyhitch.time_units import MILLISECOND, MINUTE

log = logs.get_logger()
BROKER_REDELIVERY = 10 * MINUTE  # how long a broker may redeliver a message; its id is kept as long


def open_state_directory(config: Config, listen: bool, retry: StartRetry) -> StateDirectory:
    """Lock a slot of the state directory and return the directory.

    A process that runs alone must find its addresses unused. A process that listens there without a slot is
    another dispatcher, or a version that shares neither the directory nor the address. Raise ConfigError if
    the directory or an address cannot be used, or if this process may not run beside a running one.
    """
    check_running_process(config, listen, retry)
    try:
        directory = retry.run(lambda: StateDirectory(config.state), "state")
    except (StateDirectoryInUseError, OSError) as error:
        raise ConfigError(f"state: {error}") from error
    if not directory.peer_running:
        try:
            for key, address in shared_addresses(config, listen).items():
                check_address(key, address, retry)
        except ConfigError:
            directory.close()
            raise
    directory.describe(ProcessDescription(features=unshareable_features(config)))
    return directory


def open_clock(config: Config, directory: StateDirectory, retry: StartRetry) -> AnchorFile:
    """Return the clock that the state directory's processes share.

    In a fleet the wall clock gives the time, because the instances compare their times.
    """
    current = ClockAnchor.now()
    if config.operator.fleet is not None:
        return AnchorFile(config.state, current)
    try:
        return retry.run(lambda: _share_clock(config.state, directory, current), "state")
    except OSError as error:
        raise ConfigError(f"state: {error}") from error


def _share_clock(path: Path, directory: StateDirectory, current: ClockAnchor) -> AnchorFile:
    with directory.exclusive():
        stored = stored_anchor(path)
        step_ms = (current.offset - stored.offset) // MILLISECOND if stored is not None else 0
        if step_ms:
            log.info("clock.resumed", wall_clock_step_ms=step_ms)
        anchor_file = AnchorFile(path, stored or current)
        anchor_file.write()
    return anchor_file


def open_journal(
    config: Config, directory: StateDirectory, clock: Callable[[], int], retry: StartRetry
) -> Journal:
    """Open the journal of the directory's slot. Raise ConfigError if it cannot be used."""
    longest_deadline = max(message_class.deadline for message_class in config.settings.classes)

    def retention(message: Transaction) -> int:
        """Return for how many nanoseconds the id of an ended message is remembered.

        Clients send a message again at once or never; a broker may redeliver one for longer.
        """
        if message.frontend == "mqtt":
            return max(longest_deadline, BROKER_REDELIVERY)
        return longest_deadline

    settings = config.settings
    names = SettingsNames(
        classes=tuple(message_class.name for message_class in settings.classes),
        tenants=settings.tenant_names,
        zones=settings.zone_names,
    )

    def open_file() -> Journal:
        return Journal(
            config.state,
            config.limits.disk_bytes,
            clock,
            retention,
            detailed=config.operator.dead_letters is not None,
            file_name=directory.journal_path(directory.slot).name,
            current_names=names,
        )

    try:
        return retry.run(open_file, "state")
    except (JournalVersionError, OSError) as error:
        raise ConfigError(f"state: {error}") from error
