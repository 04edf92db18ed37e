"""Merges the state of another journal into that of this process, when the journal is taken over."""

from __future__ import annotations

from dataclasses import dataclass

from honeyhitch.journal.state import JournalState
from honeyhitch.journal.transactions import RememberedKey, Transaction


@dataclass(frozen=True, slots=True)
class SavedState:
    """The state that a take-over changes, restored if there is no disk space for the result."""

    by_id: dict[str, Transaction]
    concluded: dict[str, int]
    delivered_keys: dict[str, RememberedKey]
    attempted_keys: dict[str, RememberedKey]
    pending_dead_letters: dict[tuple[str, int], Transaction]
    handed_over: dict[str, Transaction]
    calls_in_flight: int | None
    live_bytes: int
    dead_letter_bytes: int
    message_bytes: dict[str, int]


class MergeableState(JournalState):
    """A state into which another one is merged, and which is restored if the result cannot be stored."""

    def merge(self, peer_state: JournalState) -> tuple[list[Transaction], list[Transaction]]:
        """Add the messages and the remembered ids and keys of another journal.

        Return the messages that are new in this state, and the new dead letters that only wait for the store.
        For messages that were handed over, the other state counts; those that it does not contain are owned
        by this process again and returned as new.
        """
        returned_messages = self._settle_handed_over(peer_state)
        own_messages = self.messages
        own_ids = own_messages.by_id.keys() | own_messages.concluded.keys()
        new_messages = [
            message for message_id, message in peer_state.messages.by_id.items() if message_id not in own_ids
        ]
        new_dead_letters = [
            message
            for key, message in peer_state.messages.pending_dead_letters.items()
            if key not in own_messages.pending_dead_letters
        ]
        for transaction in new_messages:
            self._add_message(transaction)
        for transaction in new_dead_letters:
            self._add_pending_dead_letter(transaction)
        for (destination, endpoint), until in peer_state.retry_after_until.items():
            self._extend_retry_after(destination, endpoint, until)
        for key, outage in peer_state.outages.items():
            own_outage = self.outages.get(key)
            if own_outage is None or own_outage.history.latest_at < outage.history.latest_at:
                self._keep_outage(outage)
        own_messages.concluded = peer_state.messages.concluded | own_messages.concluded
        own_messages.delivered_keys = _earliest(
            peer_state.messages.delivered_keys, own_messages.delivered_keys
        )
        own_messages.attempted_keys = _earliest(
            peer_state.messages.attempted_keys, own_messages.attempted_keys
        )
        return new_messages + returned_messages, new_dead_letters

    def _settle_handed_over(self, peer_state: JournalState) -> list[Transaction]:
        """Drop handed-over messages that the other process accepted, and return the others."""
        accepted_ids = {message_id for message_id in self.handed_over if peer_state.has_accepted(message_id)}
        for message_id in accepted_ids:
            del self.messages.by_id[message_id]
            self.live_bytes -= self.message_bytes.pop(message_id)
        returned = [
            message for message_id, message in self.handed_over.items() if message_id not in accepted_ids
        ]
        self.handed_over = {}
        self.calls_in_flight = None
        return returned

    def save(self) -> SavedState:
        """Return what `merge` changes."""
        return SavedState(
            by_id=dict(self.messages.by_id),
            concluded=dict(self.messages.concluded),
            delivered_keys=dict(self.messages.delivered_keys),
            attempted_keys=dict(self.messages.attempted_keys),
            pending_dead_letters=dict(self.messages.pending_dead_letters),
            handed_over=self.handed_over,
            calls_in_flight=self.calls_in_flight,
            live_bytes=self.live_bytes,
            dead_letter_bytes=self.dead_letter_bytes,
            message_bytes=dict(self.message_bytes),
        )

    def restore(self, saved: SavedState) -> None:
        """Undo a merge."""
        self.messages.by_id = saved.by_id
        self.messages.concluded = saved.concluded
        self.messages.delivered_keys = saved.delivered_keys
        self.messages.attempted_keys = saved.attempted_keys
        self.messages.pending_dead_letters = saved.pending_dead_letters
        self.handed_over = saved.handed_over
        self.calls_in_flight = saved.calls_in_flight
        self.live_bytes = saved.live_bytes
        self.dead_letter_bytes = saved.dead_letter_bytes
        self.message_bytes = saved.message_bytes


def _earliest(
    keys: dict[str, RememberedKey], other_keys: dict[str, RememberedKey]
) -> dict[str, RememberedKey]:
    """Return the keys of both, each with its earliest execution and its latest retention."""
    merged = keys | other_keys
    for key in keys.keys() & other_keys.keys():
        until = max(keys[key].remembered_until, other_keys[key].remembered_until)
        merged[key] = min(keys[key], other_keys[key])._replace(remembered_until=until)
    return merged
