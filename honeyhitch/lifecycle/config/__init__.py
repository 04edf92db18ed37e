"""The one place where configuration is read, checked and given its defaults."""

from honeyhitch.lifecycle.config.file import FIXED_SOCKETS, Config, read
from honeyhitch.lifecycle.config.instance import Pairs
from honeyhitch.lifecycle.config.operator import read as read_operator
from honeyhitch.lifecycle.config.operator import read_tls
from honeyhitch.setup import Address, ConfigError

__all__ = ["FIXED_SOCKETS", "Address", "Config", "ConfigError", "Pairs", "read", "read_operator", "read_tls"]
