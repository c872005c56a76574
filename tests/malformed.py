"""Malformed fields and bodies, as a faulty writer may produce them."""

from typing import Any

from hypothesis import strategies as st

ODD_TEXTS = (
    '',
    ' ',
    'x',
    '7',
    '-1',
    'nan',
    'NaN',
    'infs',
    '1e9ms',
    '\x00',
    '\r\n',
    '\ud800',
    'é',
    '９',
    '²',
    'r²',
    'x' * 400,
    '9' * 400,
)
ODD_NUMBERS = (
    -1,
    0,
    1,
    65_535,
    65_536,
    2**31,
    2**53 + 1,
    2**64,
    10**30,
    -(10**30),
    0.5,
    1e308,
    -1e308,
    float('nan'),
    float('inf'),
    float('-inf'),
)
LEAVES = st.sampled_from((None, True, False, *ODD_TEXTS, *ODD_NUMBERS))
# Any value that Python decodes from JSON, including NaN and infinities.
ANY_JSON = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(ODD_TEXTS), inner, max_size=3)
    ),
    max_leaves=5,
)
# Texts that other writers may leave where an address is due.
ODD_ADDRESSES = (
    '',
    ':',
    '127.0.0.1',
    '127.0.0.1:',
    '127.0.0.1:x',
    '127.0.0.1:²',
    '127.0.0.1:-1',
    '127.0.0.1:70000',
    f'127.0.0.1:{"9" * 5000}',
    ':18779',
    '\x00:18779',
    '127.0.0.1\x00:18779',
    'a..b:18779',
    'é:18779',
    '\ud800:18779',
    f'{"x" * 64}.example:18779',
    f'{"x" * 400}:18779',
)
# Bodies that our encoders never produce.
BAD_BODIES = (
    b'',
    b'\xff\xfe',
    b'[]',
    b'5',
    b'null',
    b'NaN',
    b'"text"',
    b'{',
    b'{}',
    b'[' * 100_000,
    b'{"a":' * 100_000,
    b'{"until":' + b'9' * 5000 + b'}',
)


def mutated(valid: dict[str, Any]) -> st.SearchStrategy[dict[str, Any]]:
    """Return a strategy for valid fields with some replaced or removed."""
    names = sorted(valid)
    replaced = st.dictionaries(st.sampled_from(names), ANY_JSON, max_size=3)
    removed = st.sets(st.sampled_from(names), max_size=2)
    return st.builds(_mutate, st.just(valid), replaced, removed)


def _mutate(
    valid: dict[str, Any], replaced: dict[str, Any], removed: set[str]
) -> dict[str, Any]:
    return {
        name: replaced.get(name, original)
        for name, original in valid.items()
        if name not in removed
    }
