"""herontrail: the decisions of a dispatcher of notifications to outside receivers."""

from herontrail.brain import Brain
from herontrail.interface import Settings

__all__ = ["Brain", "Settings"]
