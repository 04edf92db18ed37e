"""The operators' page lists every log event of the package and no other event."""

from __future__ import annotations

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
EVENT = re.compile(r"[a-z-]+\.[a-z-]+")
LEVELS = {"debug", "info", "warning", "error", "exception"}
LOGGING_METHODS = LEVELS | {"_log"}  # `_log` is a method of the TLS transport that adds fields


def _event_names(node: ast.expr) -> set[str]:
    constants = (part.value for part in ast.walk(node) if isinstance(part, ast.Constant))
    return {value for value in constants if isinstance(value, str) and EVENT.fullmatch(value)}


def _events_in(path: Path) -> set[str]:
    calls = (node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Call))
    return {
        name
        for call in calls
        if isinstance(call.func, ast.Attribute) and call.func.attr in LOGGING_METHODS and call.args
        for name in _event_names(call.args[0])
    }


def test_the_page_lists_each_event_that_the_program_logs() -> None:
    logged = set().union(*(_events_in(path) for path in (ROOT / "honeyhitch").rglob("*.py")))
    rows = (ROOT / "docs" / "operators" / "log-events.md").read_text().splitlines()
    first_cells = [row.split("|")[1] for row in rows if row.startswith("| `")]
    listed = {name for cell in first_cells for name in re.findall(r"`([^`]+)`", cell)}
    assert logged == listed
