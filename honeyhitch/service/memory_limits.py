"""Applies the limit on memory to the parts of a service, and again when a second process starts or ends."""

from __future__ import annotations

import asyncio

from honeyhitch import logs
from honeyhitch.config import Config
from honeyhitch.memory.budget import MemoryBudget
from honeyhitch.memory.plan import MemoryPlan, plan_memory
from honeyhitch.memory.process import resident_bytes, return_free_memory
from honeyhitch.service.peer_check import unshareable_features

log = logs.get_logger()
CHECK_SECONDS = 1.0  # between checks whether unused memory can be returned to the system
RETURN_BYTES = 4_000_000  # growth of the resident memory after which unused memory is returned
BYTES_PER_MEGABYTE = 1_000_000


class MemoryLimits:
    """The plan in force for this process, and the budget of its clients' incomplete requests."""

    def __init__(self, config: Config) -> None:
        """Measure the memory of this process, which must not serve anyone yet."""
        self.limit = config.limits.memory_bytes
        self.upgradable = not unshareable_features(config)
        return_free_memory()  # of the configuration, whose list of endpoints may be long
        self.process_bytes = resident_bytes()
        self.plan = plan_memory(self.limit, self.process_bytes, upgradable=self.upgradable)
        self.requests = MemoryBudget(self.plan.request_bytes)
        self._checked_bytes = self.process_bytes

    def divide(self, processes: int) -> MemoryPlan:
        """Return the plan for this process as one of `processes`, and put its budget in force."""
        self.plan = plan_memory(self.limit, self.process_bytes, processes, self.upgradable)
        self.requests.set_limit(self.plan.request_bytes)
        if processes > 1:
            return_free_memory()
        self._log(processes)
        return self.plan

    def _log(self, processes: int) -> None:
        plan = self.plan
        log.info(
            "memory.divided",
            limit_mb=self.limit // BYTES_PER_MEGABYTE,
            process_mb=self.process_bytes // BYTES_PER_MEGABYTE,
            working_mb=plan.working // BYTES_PER_MEGABYTE,
            processes=processes,
            upgrade_fits=plan.upgrade_fits,
            clients=plan.max_clients,
            endpoints=plan.max_endpoints,
        )
        if self.limit < plan.required:
            log.warning(
                "memory.limit-low",
                limit_mb=self.limit // BYTES_PER_MEGABYTE,
                required_mb=-(-plan.required // BYTES_PER_MEGABYTE),
                processes=processes,
            )

    async def return_unused(self) -> None:
        """Return unused memory to the system while the process has grown, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            resident = resident_bytes()
            if resident - self._checked_bytes > RETURN_BYTES:
                return_free_memory()
                self._checked_bytes = resident_bytes()
            self._checked_bytes = min(self._checked_bytes, resident)
