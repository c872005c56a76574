"""Import of compiled modules from a zip application."""

import subprocess
import sys
import zipapp
from pathlib import Path

import httptools
import pytest

from plantaingrade import zipped

MAIN = """
import sys
from plantaingrade.zipped import CompiledFinder
sys.meta_path.insert(0, CompiledFinder(sys.path[0]))
import httptools
assert sys.path[0] in httptools.__file__, httptools.__file__
print(httptools.HttpRequestParser.__module__)
"""


def test_compiled_modules_are_imported_from_the_archive(tmp_path) -> None:
    """A zip application must find its compiled modules without unpacking.

    The import system of Python does not find compiled modules in an archive.
    """
    folder = tmp_path / 'app'
    copy_into(folder / 'httptools', Path(httptools.__file__).parent)
    package = folder / 'plantaingrade'
    package.mkdir()
    (package / '__init__.py').touch()
    source = Path(zipped.__file__).read_text(encoding='utf-8')
    (package / 'zipped.py').write_text(source, encoding='utf-8')
    (folder / '__main__.py').write_text(MAIN, encoding='utf-8')
    archive = tmp_path / 'app.pyz'
    zipapp.create_archive(folder, archive)
    found = subprocess.run(
        [sys.executable, '-S', str(archive)],
        capture_output=True,
        check=True,
        cwd=tmp_path,
    )
    assert found.stdout.strip() == b'httptools.parser.parser'
    assert sorted(each.name for each in tmp_path.iterdir()) == [
        'app',
        'app.pyz',
    ]


def copy_into(folder: Path, source: Path) -> None:
    """Copy the modules of a library, including compiled ones."""
    for path in source.rglob('*'):
        if path.suffix in {'.py', '.so'}:
            target = folder / path.relative_to(source)
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_bytes(path.read_bytes())


@pytest.mark.parametrize(
    ('entry', 'module'),
    [
        ('msgspec/_core.cpython-311-x86_64-linux-gnu.so', 'msgspec._core'),
        ('a/b/c.abi3.so', 'a.b.c'),
        ('alone.so', 'alone'),
    ],
)
def test_module_name_of_archive_entry(entry, module) -> None:
    assert zipped.module_name(entry) == module
