"""honeyhitch: the delivery policy of a dispatcher of notifications to outside receivers."""

from honeyhitch.policy.engine import DeliveryPolicy
from honeyhitch.policy.settings import Settings

__all__ = ["DeliveryPolicy", "Settings", "__version__"]
__version__ = "0.2.0"
