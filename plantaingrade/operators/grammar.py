"""Parse statements of the operators' language."""

from functools import lru_cache

from lark import Lark, Token, Transformer
from lark.exceptions import LarkError

from plantaingrade.operators.const import GRAMMAR
from plantaingrade.operators.entity import (
    Drain,
    MoveKey,
    MoveKeys,
    MoveSlice,
    OwnerOf,
    Resume,
    Retire,
    ShowCommands,
    ShowConfig,
    ShowDecider,
    ShowServers,
    ShowSlices,
    Statement,
    StatementError,
)


class _ToStatement(Transformer[Token, Statement]):
    """Transform a parse tree into a typed statement."""

    def start(self, children: list[Statement]) -> Statement:
        return children[0]

    def text(self, children: list[Token]) -> str:
        return str(children[0]).strip('"')

    def owner_of(self, children: list[str]) -> OwnerOf:
        key, service = children
        return OwnerOf(str(service), key)

    def show_servers(self, children: list[str | None]) -> ShowServers:
        return ShowServers(str(children[0] or ''))

    def show_slices(self, children: list[str]) -> ShowSlices:
        return ShowSlices(str(children[0]))

    def show_config(self, _: list[str]) -> ShowConfig:
        return ShowConfig()

    def show_decider(self, _: list[str]) -> ShowDecider:
        return ShowDecider()

    def show_commands(self, _: list[str]) -> ShowCommands:
        return ShowCommands()

    def move_key(self, children: list[str]) -> MoveKey:
        key, service, server = children
        return MoveKey(str(service), key, str(server))

    def move_keys(self, children: list[str]) -> MoveKeys:
        first, last, service, server = children
        return MoveKeys(str(service), int(first), int(last), str(server))

    def move_slice(self, children: list[str]) -> MoveSlice:
        index, service, server = children
        return MoveSlice(str(service), int(index), str(server))

    def drain(self, children: list[str]) -> Drain:
        return Drain(str(children[0]))

    def resume(self, children: list[str]) -> Resume:
        return Resume(str(children[0]))

    def retire(self, children: list[str]) -> Retire:
        return Retire(str(children[0]))


@lru_cache(maxsize=1)
def _parser() -> Lark:
    return Lark(
        GRAMMAR,
        parser='lalr',
        transformer=_ToStatement(),
        maybe_placeholders=True,
    )


def parse_statement(text: str) -> Statement:
    """Parse a statement.

    Raises:
        StatementError: the text is not a valid statement; its message names
            the place of the syntax error.
    """
    try:
        return _parser().parse(text)
    except LarkError as error:
        first_line = str(error).strip().splitlines()[0]
        raise StatementError(f'Not understood: {first_line}') from error
