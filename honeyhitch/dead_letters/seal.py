"""Seals: a keyed BLAKE3 hash of each record, so that a record altered on disk is detected and never resent.

The keys are in a separate file (mode 0600). The newest key makes seals; an older key verifies the seals that
it made, until the key is deleted.
"""

from __future__ import annotations

import hmac
import json
import os
import secrets
import stat
from pathlib import Path

from blake3 import blake3

KEY_BYTES = 32  # length of a key, and of a seal
FILE_MODE = 0o600
PUBLIC_MODE_BITS = 0o077  # permissions that the group and others must not have


class SealError(Exception):
    """The key file cannot be used; the message says why."""


class SealKeys:
    """The keys of one store by number; the newest key makes seals, and all keys verify them."""

    def __init__(self, keys: dict[int, bytes]) -> None:
        self.keys = keys
        self.newest_number = max(keys)

    @classmethod
    def load(cls, path: Path, create: bool = False, first_number: int = 1) -> SealKeys:
        """Return the keys in the file; with `create`, write a missing file with one new key of this number.

        Raise SealError if the file is missing, cannot be read or written, has no valid keys, or is accessible
        to others than its owner.
        """
        try:
            descriptor = os.open(path, os.O_RDONLY)
        except FileNotFoundError:
            if not create:
                raise SealError(f"{path}: there is no key file") from None
            keys = cls({first_number: secrets.token_bytes(KEY_BYTES)})
            keys.save(path)
            return keys
        except OSError as error:
            raise SealError(f"{path}: cannot be read: {error.strerror}") from error
        with os.fdopen(descriptor, "rb") as file:
            if stat.S_IMODE(os.fstat(descriptor).st_mode) & PUBLIC_MODE_BITS:
                raise SealError(f"{path}: others may read it; its mode must be 0600")
            return cls(_parse_keys(path, file.read()))

    def save(self, path: Path) -> None:
        """Replace the file atomically, readable only by its owner. Raise SealError if that fails."""
        new_path = path.with_name(path.name + ".new")
        text = json.dumps({"keys": {str(number): key.hex() for number, key in self.keys.items()}})
        try:
            new_path.unlink(missing_ok=True)
            descriptor = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, FILE_MODE)
            with os.fdopen(descriptor, "w") as file:
                file.write(text)
                file.flush()
                os.fsync(descriptor)
            os.rename(new_path, path)
        except OSError as error:
            raise SealError(f"{path}: cannot be written: {error.strerror}") from error

    def add(self) -> None:
        """Add a new key, which makes all seals from now on; older keys still verify the seals they made."""
        self.newest_number += 1
        self.keys[self.newest_number] = secrets.token_bytes(KEY_BYTES)

    def drop_old(self) -> None:
        """Delete all keys but the newest."""
        self.keys = {self.newest_number: self.keys[self.newest_number]}

    def seal(self, data: bytes) -> tuple[int, bytes]:
        """Return the number of the newest key, and the seal of the data that it makes."""
        return self.newest_number, blake3(data, key=self.keys[self.newest_number]).digest()

    def verifies(self, number: int, seal: bytes, data: bytes) -> bool:
        """Return whether the key with this number made this seal of the data."""
        key = self.keys.get(number)
        return key is not None and hmac.compare_digest(blake3(data, key=key).digest(), seal)


def _parse_keys(path: Path, text: bytes) -> dict[int, bytes]:
    try:
        keys = {int(number): bytes.fromhex(key) for number, key in json.loads(text)["keys"].items()}
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SealError(f"{path}: is no key file: {error}") from error
    if not keys or any(len(key) != KEY_BYTES for key in keys.values()):
        raise SealError(f"{path}: expected at least one key of {KEY_BYTES} bytes")
    return keys
