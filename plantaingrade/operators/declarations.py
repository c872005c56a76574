"""Read declarations documents, with the line of every mistake."""

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
    """One mistake in a document."""

    line: int
    text: str


class DeclarationError(PlantaingradeError):
    """Report every mistake of a document; nothing of it is in force."""

    advice = 'Correct the lines named; the declarations in force stay.'

    def __init__(self, mistakes: list[Mistake]) -> None:
        """Keep the mistakes."""
        self.mistakes = mistakes
        lines = [f'line {each.line}: {each.text}' for each in mistakes]
        super().__init__('; '.join(lines))


def read_declaration(text: str) -> tuple[ServiceRow, ...]:
    """Return the services that a document declares.

    Raises:
        DeclarationError: names the line of each mistake.
    """
    try:
        root = yaml.compose(text, yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        raise DeclarationError(
            [Mistake(line, error.problem or 'no YAML')],
        ) from error
    reader = _Reader()
    services = reader.read(root)
    if reader.mistakes:
        raise DeclarationError(reader.mistakes)
    return services


class _Reader:
    """Walk the nodes of one document and collect mistakes."""

    __slots__ = ('mistakes',)

    def __init__(self) -> None:
        self.mistakes: list[Mistake] = []

    def read(self, root: yaml.Node | None) -> tuple[ServiceRow, ...]:
        top = self._mapping(root, 'the document')
        for name, node in top.items():
            if name != CONF_SERVICES:
                self._blame(node, f'unknown field {name!r}')
        if CONF_SERVICES not in top:
            self._blame(root, 'no services declared')
            return ()
        services = self._mapping(top[CONF_SERVICES], CONF_SERVICES)
        return tuple(
            self._service(name, node) for name, node in services.items()
        )

    def _service(self, name: str, node: yaml.Node) -> ServiceRow:
        if not name or not all(
            char.isalnum() or char in '._-' for char in name
        ):
            self._blame(node, f'service name {name!r} may not be used')
        fields = self._mapping(node, f'service {name}')
        for field, child in fields.items():
            if field not in FIELDS:
                self._blame(child, f'unknown field {field!r}')
        if CONF_SLICES not in fields:
            self._blame(node, f'service {name} needs {CONF_SLICES}')
        weights = self._weights(fields.get(CONF_WEIGHTS))
        return ServiceRow(
            name=name,
            slices=self._whole(
                fields.get(CONF_SLICES),
                MIN_SLICES,
                MIN_SLICES,
                MAX_SLICES,
            ),
            keyed=self._flag(fields.get(CONF_KEYED)),
            unfenced_grace_ms=self._whole(
                fields.get(CONF_GRACE),
                DEFAULT_GRACE_MS,
                0,
                MAX_GRACE_MS,
            ),
            tenants=self._names(fields.get(CONF_TENANTS)),
            weight_imbalance=weights['imbalance'],
            weight_churn=weights['churn'],
            weight_unavailable=weights['unavailable'],
            churn_budget=self._share(
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
            self._blame(node, f'{what} must be a mapping')
            return {}
        found: dict[str, yaml.Node] = {}
        for name, child in node.value:
            if str(name.value) in found:
                self._blame(name, f'{name.value!r} stands twice')
            found[str(name.value)] = child
        return found

    def _weights(self, node: yaml.Node | None) -> dict[str, float]:
        fields = {} if node is None else self._mapping(node, CONF_WEIGHTS)
        for name, child in fields.items():
            if name not in WEIGHTS:
                self._blame(child, f'unknown weight {name!r}')
        return {name: self._number(fields.get(name), 1.0) for name in WEIGHTS}

    def _whole(
        self,
        node: yaml.Node | None,
        default: int,
        low: int,
        high: int,
    ) -> int:
        if node is None:
            return default
        number = _load(node)
        if not _is_whole(number) or not low <= number <= high:
            self._blame(node, f'must be a whole number, {low} to {high}')
            return default
        return number

    def _number(self, node: yaml.Node | None, default: float) -> float:
        if node is None:
            return default
        number = _load(node)
        whole_or_float = _is_whole(number) or isinstance(number, float)
        if not whole_or_float or number < 0:
            self._blame(node, 'must be a number, 0 or more')
            return default
        return float(number)

    def _share(self, node: yaml.Node | None, default: float) -> float:
        number = self._number(node, default)
        if number > 1:
            self._blame(node, 'must be a share, 0 to 1')
            return default
        return number

    def _flag(self, node: yaml.Node | None) -> bool:
        flag = True if node is None else _load(node)
        if not isinstance(flag, bool):
            self._blame(node, 'must be true or false')
            return True
        return flag

    def _names(self, node: yaml.Node | None) -> tuple[str, ...]:
        names = [] if node is None else _load(node)
        if not isinstance(names, list) or not all(
            isinstance(name, str) for name in names
        ):
            self._blame(node, 'must be a list of names')
            return ()
        return tuple(names)

    def _blame(self, node: yaml.Node | None, text: str) -> None:
        line = 1 if node is None else node.start_mark.line + 1
        self.mistakes.append(Mistake(line, text))


def _is_whole(number: Any) -> bool:
    return isinstance(number, int) and not isinstance(number, bool)


def _load(node: yaml.Node) -> Any:
    return yaml.safe_load(yaml.serialize(node))
