"""Run the one-file application, compiled modules and all.

A zip holds compiled modules, but Python imports none from it. Here each is
read into memory that has a file's name, and imported by that name: nothing is
unpacked, and no child process is started.
"""

import os
import sys
from collections.abc import Sequence
from importlib.abc import MetaPathFinder
from importlib.machinery import ExtensionFileLoader, ModuleSpec
from importlib.util import spec_from_file_location
from types import ModuleType
from zipfile import ZipFile

SUFFIX = '.so'


class CompiledFinder(MetaPathFinder):
    """Find the compiled modules of one archive."""

    def __init__(self, archive: str) -> None:
        """Look into the archive once."""
        self._archive = archive
        with ZipFile(archive) as opened:
            names = opened.namelist()
        self._entry_by_module = {
            module_of(name): name for name in names if name.endswith(SUFFIX)
        }

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return how to import a compiled module, if it is one of these."""
        entry = self._entry_by_module.get(fullname)
        if entry is None:
            return None
        file_path = self._into_memory(entry)
        loader = ExtensionFileLoader(fullname, file_path)
        return spec_from_file_location(fullname, file_path, loader=loader)

    def _into_memory(self, entry: str) -> str:
        """Return the name of memory that holds a module.

        It stays open: the system's loader takes two libraries of one name for
        the same, and names go by the numbers of open files.
        """
        memory = os.memfd_create(entry)
        with ZipFile(self._archive) as opened:
            os.write(memory, opened.read(entry))
        return f'/proc/self/fd/{memory}'


def module_of(entry: str) -> str:
    """Return the module that an entry such as ``a/b.abi3.so`` is for."""
    folder, _, name = entry.rpartition('/')
    stem = name.partition('.')[0]
    return '.'.join((*folder.split('/'), stem)) if folder else stem


def main() -> None:
    """Run the command line out of the archive that Python was started with."""
    sys.meta_path.insert(0, CompiledFinder(sys.path[0]))
    from plantaingrade.cli import main as run_cli  # noqa: WPS433

    run_cli()
