"""Map keys to slices of the hash space."""

from hashlib import blake2b

from plantaingrade.journal.const import (
    HASH_BITS,
    HOT_KEY_PREFIX,
    KEY_DIGEST_BYTES,
)
from plantaingrade.journal.entity import MapState, SliceRow


def hash_key(key: str) -> int:
    """Return the 64-bit BLAKE2b digest of a key, big-endian."""
    digest = blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).digest()
    return int.from_bytes(digest)


def slice_index(key: str, count: int) -> int:
    """Return the index of the one of ``count`` equal ranges with the key."""
    return (hash_key(key) * count) >> HASH_BITS


def range_slice_id(service: str, index: int) -> str:
    """Return the slice id of a range of the hash space."""
    return f'{service}/{index}'


def hot_slice_id(service: str, key: str) -> str:
    """Return the slice id of a hot key."""
    return f'{service}/{HOT_KEY_PREFIX}{key}'


def is_hot(slice_id: str) -> bool:
    """Return whether a slice id is that of a hot key."""
    return f'/{HOT_KEY_PREFIX}' in slice_id


def find_slice(state: MapState, service: str, key: str) -> SliceRow | None:
    """Return the row of the hot key or range that determines the owner."""
    row = state.services.get(service)
    if row is None:
        return None
    hot = state.slices.get(hot_slice_id(service, key))
    if hot is not None:
        return hot
    index = slice_index(key, row.slices)
    return state.slices.get(range_slice_id(service, index))


def parent_slice_id(state: MapState, hot_id: str) -> str:
    """Return the slice id of the range that contains a hot key."""
    service, key = hot_id.split(f'/{HOT_KEY_PREFIX}', 1)
    index = slice_index(key, state.services[service].slices)
    return range_slice_id(service, index)
