"""Seals: a keyed BLAKE3 over each record, so that one altered on disk is shown as such and never resent.

The keys lie in a file of their own (0600). The newest seals; older ones still prove, until they are dropped.
"""

from __future__ import annotations

import hmac
import json
import os
import secrets
import stat
from pathlib import Path

from blake3 import blake3

SIZE = 32  # bytes of a key, and of a seal


class SealError(Exception):
    """The key file cannot be used; the message says why."""


class Keys:
    """The keys of one store, by number."""

    def __init__(self, keys: dict[int, bytes]) -> None:
        self.keys, self.current = keys, max(keys)

    @classmethod
    def load(cls, path: Path, make: bool = False, least: int = 1) -> Keys:
        """From the file; with `make` one is made where there is none, with its first key numbered `least`.

        Raises SealError.
        """
        try:
            fd = os.open(path, os.O_RDONLY)
        except FileNotFoundError:
            if not make:
                raise SealError(f"{path}: there is no key file") from None
            keys = cls({least: secrets.token_bytes(SIZE)})
            keys.save(path)
            return keys
        except OSError as error:
            raise SealError(f"{path}: cannot be read: {error.strerror}") from error
        with os.fdopen(fd, "rb") as file:
            if stat.S_IMODE(os.fstat(fd).st_mode) & 0o077:
                raise SealError(f"{path}: others may read it; its mode must be 0600")
            text = file.read()
        try:
            told = {int(number): bytes.fromhex(key) for number, key in json.loads(text)["keys"].items()}
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise SealError(f"{path}: is no key file: {error}") from error
        if not told or any(len(key) != SIZE for key in told.values()):
            raise SealError(f"{path}: expected at least one key of {SIZE} bytes")
        return cls(told)

    def save(self, path: Path) -> None:
        """Put the file in its place at one stroke, readable by its owner alone. Raises SealError."""
        spare = path.with_name(path.name + ".new")
        text = json.dumps({"keys": {str(number): key.hex() for number, key in self.keys.items()}})
        try:
            spare.unlink(missing_ok=True)
            fd = os.open(spare, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
            with os.fdopen(fd, "w") as file:
                file.write(text)
                file.flush()
                os.fsync(fd)
            os.rename(spare, path)
        except OSError as error:
            raise SealError(f"{path}: cannot be written: {error.strerror}") from error

    def add(self) -> None:
        """A new key seals from now on; the others still prove."""
        self.current += 1
        self.keys[self.current] = secrets.token_bytes(SIZE)

    def drop_old(self) -> None:
        """Only the newest key counts from now on."""
        self.keys = {self.current: self.keys[self.current]}

    def seal(self, data: bytes) -> tuple[int, bytes]:
        """The number of the key and the seal."""
        return self.current, blake3(data, key=self.keys[self.current]).digest()

    def proves(self, number: int, seal: bytes, data: bytes) -> bool:
        """Whether this data was sealed so."""
        key = self.keys.get(number)
        return key is not None and hmac.compare_digest(blake3(data, key=key).digest(), seal)
