"""Collects the rows of one endpoint list while it is received, within the room that the pool has."""

from __future__ import annotations

from collections.abc import Callable

from honeyhitch.endpoints.list_rows import ListedRow, Row
from honeyhitch.endpoints.room import LeftOutEndpoints


class EndpointRows:
    """The rows of one list or change that the pool may need, in a compact form.

    All rows of known endpoints are kept, so that each drain and each removal is applied. Of other endpoints,
    at most `max_new` are kept. Of several rows with one id, the last one counts.
    """

    def __init__(
        self, accepts_row: Callable[[Row], bool], is_known: Callable[[str], bool], max_new: int
    ) -> None:
        """Keep rows for which `accepts_row` returns true. `is_known` tells whether the pool has an id."""
        self.accepts_row = accepts_row
        self.is_known = is_known
        self.max_new = max_new
        self.rows: dict[str, ListedRow] = {}  # by id
        self.left_out = LeftOutEndpoints()
        self._new_count = 0

    def add(self, row: Row) -> None:
        """Keep a row as decoded from JSON if the pool may need it and there is room."""
        if self.accepts_row(row):
            self.add_listed(ListedRow.from_json(row))

    def add_listed(self, row: ListedRow) -> None:
        """Keep a row if there is room."""
        row_id = str(row.id)
        if row_id not in self.rows and not self.is_known(row_id):
            if self._new_count >= self.max_new:
                self.left_out.add(row.destination if isinstance(row.destination, int) else None)
                return
            self._new_count += 1
        self.rows[row_id] = row
