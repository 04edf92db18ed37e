"""When to ask discovery again, and for what. Randomness is passed in, and times are seconds.

Every dispatcher of a fleet loses its watch at the same moment, and discovery sends few lists a second.
If all come back at once, each for a whole list, none gets one. So pauses grow with each failure and are drawn
from nothing up to their bound, and one that has a list asks only for what changed after it.
"""

from __future__ import annotations

from random import Random

FIRST, MOST = 0.25, 8.0  # seconds; the bound of the first pause, and of all
CALM = 5.0  # seconds that a watch lasted, after which a break is a new one
SPREAD, FEW = 0.05, 6  # seconds an instance before the first ask at a start; instances that need none
UNASKED = 0.5  # of the time for which something new may go to a member whose drain was told


class Asking:
    """The state of one watch's attempts at one address."""

    def __init__(self, rng: Random, instances: int, known: bool, moved: bool, grace: float) -> None:
        """`known`: there is a list already; `moved`: it is that of an agent at another address; `grace`:
        seconds for which something new may go to a member whose drain was told.
        """
        self.rng, self.instances, self.grace, self.bound = rng, instances, grace, FIRST
        self.whole = moved or not known

    def first(self) -> float:
        """The pause before the first ask: none where the list is missing, or that of another agent.

        What the agent has counts as told, asked for or not, so that however large the fleet is, the pause and
        the answer have to fit into what is granted after a drain.
        """
        if self.whole or self.instances <= FEW:
            return 0.0
        return self.rng.uniform(0, min(SPREAD * self.instances, UNASKED * self.grace))

    def listed(self) -> None:
        """A list or its changes came: from now on changes will do."""
        self.whole = False

    def unheard(self) -> None:
        """Nothing at all came on a watch, or nothing usable: the agent may not know our revision."""
        self.whole = True

    def again(self, lasted: float, answered: bool) -> float:
        """The pause before the next ask: a growing one. Where no answer came, it is no longer than what is
        granted after a drain allows; one that turned us away, or that could not be used, has nothing for us.
        """
        self.bound = FIRST if lasted >= CALM else min(MOST, 2 * self.bound)
        most = MOST if answered else max(FIRST, UNASKED * self.grace)
        return self.rng.uniform(0, min(self.bound, most))
