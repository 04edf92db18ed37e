"""honeyhitch: the decisions of a dispatcher of notifications to outside receivers."""

from honeyhitch.policy.engine import Brain
from honeyhitch.policy.interface import Settings

__all__ = ["Brain", "Settings", "__version__"]
__version__ = "0.1.0"
