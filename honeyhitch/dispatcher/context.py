"""The state and the ports that all components of a dispatcher share."""

from __future__ import annotations

from honeyhitch.dispatcher.delivery import Call
from honeyhitch.dispatcher.event_queue import EventQueue
from honeyhitch.dispatcher.metrics import Metrics
from honeyhitch.dispatcher.ports import (
    ConnectionOpener,
    DeadLetterSink,
    Frontend,
    PeerProcess,
    QuotaSource,
    ResendCoordinator,
    Scheduler,
    Transport,
)
from honeyhitch.endpoints.pool import EndpointPool
from honeyhitch.journal.journal import Journal
from honeyhitch.journal.transactions import Transaction
from honeyhitch.policy.engine import DeliveryPolicy
from honeyhitch.policy.settings import Idempotency, Settings


class DispatcherContext:
    """The policy, the held messages, the calls in flight, and the ports, which are set after construction."""

    def __init__(
        self, settings: Settings, seed: int, pool: EndpointPool, journal: Journal, scheduler: Scheduler
    ) -> None:
        self.settings = settings
        self.pool = pool
        self.journal = journal
        self.scheduler = scheduler
        self.policy = DeliveryPolicy(settings, seed)
        self.messages = journal.messages
        self.metrics = Metrics(message_class.name for message_class in settings.classes)
        self.event_queue = EventQueue(scheduler, settings.resolution)
        self.calls_in_flight: dict[str, Call] = {}  # by message id
        self.accepting = True  # whether new messages are accepted
        self.sending = True  # false once no further decision is made and no further call is started
        self.draining = False
        self.transports: dict[str, Transport] = {}
        self.connection_openers: dict[str, ConnectionOpener] = {}
        self.frontends: dict[str, Frontend] = {}
        self.dead_letter_sink: DeadLetterSink | None = None
        self.resend_coordinator: ResendCoordinator | None = None
        self.peer_process: PeerProcess | None = None
        self.quota_source: QuotaSource | None = None

    def find_undecided(self, message_id: str) -> Transaction | None:
        """Return the message with this id if this process still has to decide how it ends, else None."""
        message = self.messages.by_id.get(message_id)
        if message is None or message.ending is not None or message_id in self.journal.handed_over:
            return None
        return message

    def has_idempotency_key(self, message: Transaction) -> bool:
        """Return whether the message's endpoint drops repeats by the idempotency key."""
        if not message.key:
            return False
        return self.settings.classes[message.class_index].idempotency is Idempotency.IDEMPOTENCY_KEY
