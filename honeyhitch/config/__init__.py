"""Reads and checks the configuration and fills in its defaults. No other package does so."""

from honeyhitch.config.deployment import Address, ConfigError
from honeyhitch.config.file import RESERVED_DESCRIPTORS, Config, read
from honeyhitch.config.instance import SettingsReader
from honeyhitch.config.operator import read as read_operator
from honeyhitch.config.operator import read_tls

__all__ = [
    "RESERVED_DESCRIPTORS",
    "Address",
    "Config",
    "ConfigError",
    "SettingsReader",
    "read",
    "read_operator",
    "read_tls",
]
