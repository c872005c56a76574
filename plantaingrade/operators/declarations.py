"""Parse declarations documents and report the line of each mistake."""

from typing import Any

import yaml
from msgspec import Struct

from plantaingrade.errors import PlantaingradeError
from plantaingrade.journal.entity import ServiceRow
from plantaingrade.operators.const import (
    CONF_BUDGET,
    CONF_GRACE,
    CONF_KEYED,
    CONF_SERVICES,
    CONF_SLICES,
    CONF_TENANTS,
    CONF_WEIGHTS,
    DEFAULT_CHURN_BUDGET,
    DEFAULT_GRACE_MS,
    MAX_GRACE_MS,
    MAX_SLICES,
    MIN_SLICES,
)
from plantaingrade.schema import MAX_SAFE_INTEGER

# Errors of the YAML library for texts that another program may have left:
# nested too deeply, numbers with too many digits, dates that do not exist.
UNREADABLE_ERRORS = (yaml.YAMLError, ValueError, RecursionError)
# Value of a field that cannot be read; it is of no type that a field may have.
UNREADABLE = object()

WEIGHTS = ('imbalance', 'churn', 'unavailable')
FIELDS = frozenset(
    (
        CONF_SLICES,
        CONF_KEYED,
        CONF_GRACE,
        CONF_TENANTS,
        CONF_WEIGHTS,
        CONF_BUDGET,
    )
)


class Mistake(Struct, frozen=True):
    """Mistake in a document and the line on which it is."""

    line: int
    text: str


class DeclarationError(PlantaingradeError):
    """Report all mistakes of a document; none of it is applied."""

    advice = 'Correct the lines named; the previous declarations stay in force.'

    def __init__(self, mistakes: list[Mistake]) -> None:
        """Keep the mistakes and join them to one message."""
        self.mistakes = mistakes
        lines = [f'line {each.line}: {each.text}' for each in mistakes]
        super().__init__('; '.join(lines))


def read_declaration(text: str) -> tuple[ServiceRow, ...]:
    """Parse a document and return the services that it declares.

    Raises:
        DeclarationError: names the line of each mistake.
    """
    try:
        root = yaml.compose(text, yaml.SafeLoader)
    except UNREADABLE_ERRORS as error:
        raise DeclarationError([_to_mistake(error, text)]) from error
    reader = _DocumentReader()
    services = reader.read(root)
    if reader.mistakes:
        raise DeclarationError(reader.mistakes)
    return services


class _DocumentReader:
    """Convert the YAML nodes of a document and collect its mistakes."""

    __slots__ = ('mistakes',)

    def __init__(self) -> None:
        self.mistakes: list[Mistake] = []

    def read(self, root: yaml.Node | None) -> tuple[ServiceRow, ...]:
        top = self._mapping(root, 'the document')
        for name, node in top.items():
            if name != CONF_SERVICES:
                self._add_mistake(node, f'unknown field {name!r}')
        if CONF_SERVICES not in top:
            self._add_mistake(root, 'no services declared')
            return ()
        services = self._mapping(top[CONF_SERVICES], CONF_SERVICES)
        return tuple(
            self._service(name, node) for name, node in services.items()
        )

    def _service(self, name: str, node: yaml.Node) -> ServiceRow:
        if not name or not all(
            char.isalnum() or char in '._-' for char in name
        ):
            self._add_mistake(node, f'invalid service name {name!r}')
        fields = self._mapping(node, f'service {name}')
        for field, child in fields.items():
            if field not in FIELDS:
                self._add_mistake(child, f'unknown field {field!r}')
        if CONF_SLICES not in fields:
            self._add_mistake(
                node, f'service {name} must declare {CONF_SLICES}'
            )
        weights = self._weights(fields.get(CONF_WEIGHTS))
        return ServiceRow(
            name=name,
            slices=self._integer(
                fields.get(CONF_SLICES),
                MIN_SLICES,
                MIN_SLICES,
                MAX_SLICES,
            ),
            keyed=self._boolean(fields.get(CONF_KEYED)),
            unfenced_grace_ms=self._integer(
                fields.get(CONF_GRACE),
                DEFAULT_GRACE_MS,
                0,
                MAX_GRACE_MS,
            ),
            tenants=self._string_list(fields.get(CONF_TENANTS)),
            weight_imbalance=weights['imbalance'],
            weight_churn=weights['churn'],
            weight_unavailable=weights['unavailable'],
            churn_budget=self._fraction(
                fields.get(CONF_BUDGET),
                DEFAULT_CHURN_BUDGET,
            ),
        )

    def _mapping(
        self,
        node: yaml.Node | None,
        what: str,
    ) -> dict[str, yaml.Node]:
        if not isinstance(node, yaml.MappingNode):
            self._add_mistake(node, f'{what} must be a mapping')
            return {}
        found: dict[str, yaml.Node] = {}
        for name, child in node.value:
            if str(name.value) in found:
                self._add_mistake(name, f'duplicate name {name.value!r}')
            found[str(name.value)] = child
        return found

    def _weights(self, node: yaml.Node | None) -> dict[str, float]:
        fields = {} if node is None else self._mapping(node, CONF_WEIGHTS)
        for name, child in fields.items():
            if name not in WEIGHTS:
                self._add_mistake(child, f'unknown weight {name!r}')
        return {name: self._number(fields.get(name), 1.0) for name in WEIGHTS}

    def _integer(
        self,
        node: yaml.Node | None,
        default: int,
        low: int,
        high: int,
    ) -> int:
        if node is None:
            return default
        number = _convert(node)
        if not _is_integer(number) or not low <= number <= high:
            self._add_mistake(node, f'must be an integer from {low} to {high}')
            return default
        return number

    def _number(self, node: yaml.Node | None, default: float) -> float:
        if node is None:
            return default
        number = _convert(node)
        is_number = _is_integer(number) or isinstance(number, float)
        if not is_number or not 0 <= number <= MAX_SAFE_INTEGER:
            self._add_mistake(node, 'must be a number, 0 or more')
            return default
        return float(number)

    def _fraction(self, node: yaml.Node | None, default: float) -> float:
        number = self._number(node, default)
        if number > 1:
            self._add_mistake(node, 'must be a number from 0 to 1')
            return default
        return number

    def _boolean(self, node: yaml.Node | None) -> bool:
        flag = True if node is None else _convert(node)
        if not isinstance(flag, bool):
            self._add_mistake(node, 'must be true or false')
            return True
        return flag

    def _string_list(self, node: yaml.Node | None) -> tuple[str, ...]:
        names = [] if node is None else _convert(node)
        if not isinstance(names, list) or not all(
            isinstance(name, str) for name in names
        ):
            self._add_mistake(node, 'must be a list of names')
            return ()
        return tuple(names)

    def _add_mistake(self, node: yaml.Node | None, text: str) -> None:
        line = 1 if node is None else node.start_mark.line + 1
        self.mistakes.append(Mistake(line, text))


def _to_mistake(error: Exception, text: str) -> Mistake:
    match error:
        case yaml.MarkedYAMLError(problem_mark=mark, problem=problem):
            line = mark.line + 1 if mark else 1
            return Mistake(line, problem or 'invalid YAML')
        case yaml.reader.ReaderError(position=position):
            line = text.count('\n', 0, position) + 1
            return Mistake(line, 'a character that YAML does not allow')
    return Mistake(1, 'nested too deeply, or a value that cannot be read')


def _is_integer(number: Any) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)


def _convert(node: yaml.Node) -> Any:
    """Return the value of a node, or ``UNREADABLE``."""
    try:
        return yaml.safe_load(yaml.serialize(node))
    except UNREADABLE_ERRORS:
        return UNREADABLE
