"""Declarations: every mistake is reported with its line."""

import pytest

from plantaingrade.operators.changes import describe_changes
from plantaingrade.operators.declarations import (
    DeclarationError,
    read_declaration,
)

VALID = """
services:
  casebook:
    slices: 28
    tenants: [amadora, sintra]
    weights: {unavailable: 3}
  referrals:
    slices: 12
    keyed: false
"""


def test_valid_document() -> None:
    """Fields and defaults of a valid document must be read correctly."""
    casebook, referrals = read_declaration(VALID)
    assert (casebook.slices, casebook.keyed) == (28, True)
    assert casebook.weight_unavailable == 3
    assert referrals.keyed is False


@pytest.mark.parametrize(
    ('text', 'line'),
    [
        ('services: [', 1),
        ('services:\n  a:\n    slices: many\n', 3),
        ('services:\n  a:\n    slices: 0\n', 3),
        ('services:\n  a:\n    slices: true\n', 3),
        ('services:\n  a:\n    slices: 4\n    colour: red\n', 4),
        ('services:\n  a:\n    keyed: true\n', 3),
        ('services:\n  a:\n    slices: 4\n    keyed: perhaps\n', 4),
        ('services:\n  a:\n    slices: 4\n  a:\n    slices: 4\n', 4),
        ('services:\n  "a/b":\n    slices: 4\n', 3),
        ('services:\n  a:\n    slices: 4\n    churn_budget: 7\n', 4),
        ('services:\n  a:\n    slices: 4\n    weights: {speed: 1}\n', 4),
        ('other: 1\n', 1),
        ('', 1),
    ],
)
def test_mistake_is_reported_with_its_line(text: str, line: int) -> None:
    """A mistyped field must be reported with its line."""
    with pytest.raises(DeclarationError) as caught:
        read_declaration(text)
    assert line in {mistake.line for mistake in caught.value.mistakes}


def test_all_mistakes_are_reported_at_once() -> None:
    """An operator must not need one attempt for each mistake."""
    text = 'services:\n  a:\n    slices: x\n    keyed: y\n    tenants: 1\n'
    with pytest.raises(DeclarationError) as caught:
        read_declaration(text)
    assert len(caught.value.mistakes) == 3


def test_plan_shows_differences() -> None:
    """The plan must list exactly the settings that would change."""
    wanted = VALID.replace(
        'slices: 28', 'slices: 28\n    unfenced_grace_ms: 100'
    )
    assert describe_changes(VALID, wanted) == [
        '~ casebook.unfenced_grace_ms: 400 -> 100',
    ]
    assert describe_changes(VALID, VALID) == []
    assert describe_changes('', VALID) == ['+ casebook', '+ referrals']


@pytest.mark.parametrize(
    'text',
    [
        '[' * 5000,
        '{a: ' * 5000,
        'services:\n  a:\n    slices: 4\n    tenants: ' + '[' * 900 + ']' * 900,
        'services:\n  a:\n    slices: ' + '9' * 5000 + '\n',
        'services:\n  a:\n    slices: 4\n    churn_budget: 1' + '0' * 5000,
        'services:\n  a:\n    slices: 4\n    churn_budget: .nan\n',
        'services:\n  a:\n    slices: 4\n    weights: {churn: .nan}\n',
        'services:\n  a:\n    slices: 4\n    weights: {churn: .inf}\n',
        f'services:\n  a:\n    slices: 4\n    weights: {{churn: 1{"0" * 400}}}',
        'services:\n  a:\n    slices: 2001-99-99\n',
        'services:\n  a:\n    slices: \x00\n',
        'services:\n  a:\n    slices: 4 \ud800\n',
        'services:\n  a:\n    slices: !!python/name:os.system\n',
        'services:\n  ? [a]\n  : {slices: 4}\n',
        'services:\n  a: &x\n    slices: 4\n    tenants: [*x]\n',
        '\x00',
    ],
)
def test_odd_document_is_a_mistake_of_its_writer(text: str) -> None:
    """Guards against an operator's document that ends who reads it."""
    with pytest.raises(DeclarationError):
        read_declaration(text)
