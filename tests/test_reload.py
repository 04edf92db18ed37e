"""A reload leaves the settings in force that need a restart."""

from __future__ import annotations

import dataclasses
from pathlib import Path

import pytest

from honeyhitch import config
from honeyhitch.config import Config
from honeyhitch.service.assembly import assemble
from honeyhitch.service.reload import reload
from honeyhitch.service.shutdown import close

from .processes import listening_port
from .program import run_async_test, write_config_files


# Guards against limits of a configuration that is not in force, once another process starts or ends.
def test_a_reloaded_limit_is_not_in_force_before_a_restart(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path, _ = write_config_files(tmp_path, listening_port(), 9, [])

    def read_changed(previous: Config) -> Config:
        settings = dataclasses.replace(previous.settings, max_concurrent_calls=2)
        discovery = dataclasses.replace(previous.discovery, port=10)
        return dataclasses.replace(previous, settings=settings, discovery=discovery)

    async def work() -> None:
        service = assemble(config.read({}, path))
        limits = list[int]()
        monkeypatch.setattr(service.dispatcher.policy, "limit_concurrent_calls", limits.append)
        try:
            reload(service, read_changed)
            service.divide_limits(True, None)
            service.divide_limits(False, None)
            assert service.config.discovery.port == 10
        finally:
            await close(service)
        assert limits == [4, 8]

    run_async_test(work())
