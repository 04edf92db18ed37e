"""Which instances may own which partition: rendezvous hashing over a fixed number of partitions.

Every instance of a zone is ranked for every partition by a hash of both; the best ones are its candidates
in that zone. An instance that joins or leaves changes only the ranks it takes part in. The hash is BLAKE2b
(RFC 7693) of the standard library, without a key and the same on every machine.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

HASH_BYTES = 8
Rank = tuple[int, str]  # the hash, and the name to break ties


@lru_cache(maxsize=1 << 14)
def partition_of(destination: int, partition_count: int) -> int:
    """Return the partition of a destination."""
    text = b"destination %d" % destination
    return int.from_bytes(blake2b(text, digest_size=HASH_BYTES).digest()) % partition_count


def rank(partition: int, name: str) -> Rank:
    """Return the rank of an instance for a partition; the highest rank comes first."""
    text = b"%d %s" % (partition, name.encode())
    return int.from_bytes(blake2b(text, digest_size=HASH_BYTES).digest()), name


class ZoneCandidates:
    """The candidates for each partition in one zone, kept up to date as instances join and leave."""

    def __init__(self, partition_count: int, max_candidates: int) -> None:
        self.partition_count, self.max_candidates = partition_count, max_candidates
        self.names: frozenset[str] = frozenset()
        self._ranks: dict[int, tuple[Rank, ...]] = {}  # by partition, highest first; computed on demand

    def update(self, names: Iterable[str]) -> None:
        """Replace the zone's instances. Only ranks that change are computed again."""
        new_names = frozenset(names)
        joined, left = new_names - self.names, self.names - new_names
        if not joined and not left:
            return
        self.names = new_names
        for partition, ranks in list(self._ranks.items()):
            if any(name in left for _, name in ranks):
                del self._ranks[partition]  # an instance with a lower rank moves up
            elif joined:
                merged = {*ranks, *(rank(partition, name) for name in joined)}
                self._ranks[partition] = tuple(sorted(merged, reverse=True)[: self.max_candidates])

    def for_partition(self, partition: int) -> tuple[str, ...]:
        """Return the candidates for one partition, best first."""
        ranks = self._ranks.get(partition)
        if ranks is None:
            ranked = sorted((rank(partition, name) for name in self.names), reverse=True)
            ranks = self._ranks[partition] = tuple(ranked[: self.max_candidates])
        return tuple(name for _, name in ranks)

    def partitions_of(self, name: str) -> frozenset[int]:
        """Return the partitions for which an instance is a candidate."""
        return frozenset(
            partition for partition in range(self.partition_count) if name in self.for_partition(partition)
        )
