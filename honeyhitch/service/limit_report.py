"""Reports what a service holds of its limits, and why connections were closed and requests rejected."""

from __future__ import annotations

from typing import Any

from honeyhitch.memory.plan import message_memory
from honeyhitch.memory.process import resident_bytes
from honeyhitch.service.service import Service


def limit_report(service: Service) -> dict[str, Any]:
    """Return the report of the management call `limits`. Sizes are in bytes, counts begin at 0."""
    clients = service.clients
    return {
        "memory": _memory(service),
        "sockets": {
            "limit": service.config.limits.sockets,
            "clients": clients.open_sockets if clients is not None else 0,
        },
        "closed_connections": dict(clients.closed_for) if clients is not None else {},
        "rejected_requests": dict(clients.rejected_requests) if clients is not None else {},
        "rejected_messages": dict(service.dispatcher.rejections),
    }


def _memory(service: Service) -> dict[str, Any]:
    plan = service.memory.plan
    requests = service.memory.requests
    held = service.dispatcher.messages
    clients = service.clients
    pool = service.dispatcher.pool
    return {
        "limit": service.memory.limit,
        "required": plan.required,
        "resident": resident_bytes(),
        "process": service.memory.process_bytes,
        "working": plan.working,
        "upgrade_fits": plan.upgrade_fits,
        "requests": {
            "used": requests.used,
            "limit": requests.limit,
            "peak": requests.peak,
            "rejected": requests.rejections,
        },
        "messages": {
            "used": message_memory(service.journal.live_bytes, len(held)),
            "limit": plan.message_bytes,
        },
        "clients": {"used": len(clients.clients) if clients is not None else 0, "limit": plan.max_clients},
        "endpoints": {
            "used": len(pool.endpoints),
            "limit": pool.max_endpoints,
            "left_out": pool.left_out.count,
        },
    }
