"""Compare two declarations documents."""

from msgspec.structs import asdict

from plantaingrade.operators.declarations import read_declaration


def describe_changes(in_force: str, wanted: str) -> list[str]:
    """Return one line for each added, removed or changed setting.

    Raises:
        DeclarationError: the wanted document has mistakes.
    """
    after = {row.name: asdict(row) for row in read_declaration(wanted)}
    rows = read_declaration(in_force) if in_force else ()
    before = {row.name: asdict(row) for row in rows}
    lines = [f'- {name}' for name in before if name not in after]
    lines.extend(f'+ {name}' for name in after if name not in before)
    for name in before.keys() & after.keys():
        lines.extend(
            f'~ {name}.{field}: {before[name][field]} -> {now}'
            for field, now in after[name].items()
            if before[name][field] != now
        )
    return sorted(lines)
