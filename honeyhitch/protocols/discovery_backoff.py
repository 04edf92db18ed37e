"""When to ask discovery again, and for what. Randomness is passed in, and times are seconds.

Every dispatcher of a fleet loses its watch at the same moment, and discovery sends few lists a second.
If all come back at once, each for a whole list, none gets one. So pauses grow with each failure and are drawn
by chance up to a bound, and one that has a list asks only for what changed after it. The bound of all leaves
time for an answer before a change that discovery has counts as told.
"""

from __future__ import annotations

from random import Random

TOLD = 6.0  # seconds after which what discovery had, or a silent watch missed, counts as told (standing test)
ANSWER = 1.0  # seconds of these for an ask and its answer
FIRST, MOST = 0.25, TOLD - ANSWER  # seconds; the bound of the first pause, and of all
LEAST = 0.25  # of the bound: the shortest pause after an ask that was turned away
CALM = 5.0  # seconds that a watch lasted, after which a break is a new one
SPREAD, FEW = 0.05, 6  # seconds an instance before the first ask at a start; instances that need none
UNASKED = 0.5  # of the time for which something new may go to a member whose drain was told
SILENCE = 5.0  # seconds without even a heartbeat, of which one comes every 2 s: the watch is broken
ASKS = 3  # equal parts of what is left then: pause, an ask that is silent as well, pause


class ResponseTimeout:
    """How long to wait for the agent, which answers at once: a silent connection is a dead one. Each failure
    in a row doubles it up to a bound, for an agent that only is slow. Times are seconds.
    """

    def __init__(self, first: float, most: float) -> None:
        self.first, self.most, self.failures = first, most, 0

    @property
    def within(self) -> float:
        """The time for the next answer to begin."""
        return min(self.most, self.first * 2.0**self.failures)

    @property
    def pause(self) -> float:
        """The time before asking again: none after one failure or two, then a growing one."""
        return min(self.most, self.first * 2.0 ** (self.failures - 3)) if self.failures > 2 else 0.0

    def failed(self) -> None:
        """No answer came in time."""
        self.failures = min(self.failures + 1, 32)

    def heard(self) -> None:
        """One came."""
        self.failures = 0


class WatchBackoff:
    """The state of one watch's attempts at one address."""

    def __init__(self, rng: Random, instances: int, known: bool, moved: bool, grace: float) -> None:
        """`known`: there is a list already; `moved`: it is that of an agent at another address; `grace`:
        seconds for which something new may go to a member whose drain was told.
        """
        self.rng, self.instances, self.grace, self.bound = rng, instances, grace, FIRST
        self.full_list, self.receiving = moved or not known, False
        # One that fell silent and a silent one after it have to be over, with the pauses between, before
        # something new may no longer go to a member whose drain the first one missed.
        self.patience = ResponseTimeout((TOLD - SILENCE + grace) / ASKS, SILENCE)

    def opens(self) -> None:
        """A new watch is opened."""
        self.receiving = False

    @property
    def within(self) -> float:
        """The time for the next bytes to come; a short one for the first of a watch, connecting and all."""
        return SILENCE if self.receiving else self.patience.within

    def heard(self) -> None:
        """Bytes came on the watch."""
        self.receiving = True
        self.patience.heard()

    def silent(self) -> None:
        """None came in time. Where none ever did on a watch, the agent may not know our revision."""
        if not self.receiving:
            self.full_list = self.full_list or self.patience.within >= SILENCE
            self.patience.failed()

    def first(self) -> float:
        """The pause before the first ask: none where the list is missing, or that of another agent.

        What the agent has counts as told, asked for or not, so that however large the fleet is, the pause and
        the answer have to fit into what is granted after a drain.
        """
        if self.full_list or self.instances <= FEW:
            return 0.0
        return self.rng.uniform(0, min(SPREAD * self.instances, UNASKED * self.grace))

    def listed(self) -> None:
        """A list or its changes came: from now on changes will do."""
        self.full_list = False

    def unheard(self) -> None:
        """Nothing usable came: the agent may not know our revision."""
        self.full_list = True

    def next_pause(self, lasted: float, answered: bool) -> float:
        """The pause before the next ask: a growing one. Where no answer came, it is no longer than what is
        granted after a drain allows; one that turned us away, or that could not be used, has nothing for us.
        """
        self.bound = FIRST if lasted >= CALM else min(MOST, 2 * self.bound)
        if answered:
            bound = min(self.bound, MOST)
            return self.rng.uniform(LEAST * bound, bound)
        return self.rng.uniform(0, min(self.bound, max(FIRST, UNASKED * self.grace)))
