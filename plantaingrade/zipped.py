"""Run the zip application, including its compiled modules.

Python cannot import compiled modules from a zip archive. Here each one is
copied to a memory file and imported by the path of that file, so nothing is
unpacked to disk and no child process is started.
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
    """Find the compiled modules of a zip archive."""

    def __init__(self, archive: str) -> None:
        """Index the compiled modules of the archive."""
        self._archive = archive
        with ZipFile(archive) as zip_file:
            names = zip_file.namelist()
        self._entry_by_module = {
            module_name(name): name for name in names if name.endswith(SUFFIX)
        }

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return the spec of a compiled module, or None for other modules."""
        entry = self._entry_by_module.get(fullname)
        if entry is None:
            return None
        file_path = self._copy_to_memory(entry)
        loader = ExtensionFileLoader(fullname, file_path)
        return spec_from_file_location(fullname, file_path, loader=loader)

    def _copy_to_memory(self, entry: str) -> str:
        """Copy a module to a memory file and return its path.

        The file stays open. Its path contains its descriptor, which could
        otherwise be reused, and the dynamic loader treats two libraries of the
        same path as one.
        """
        descriptor = os.memfd_create(entry)
        with ZipFile(self._archive) as zip_file:
            os.write(descriptor, zip_file.read(entry))
        return f'/proc/self/fd/{descriptor}'


def module_name(entry: str) -> str:
    """Return the name of the module in an entry such as ``a/b.abi3.so``."""
    folder, _, name = entry.rpartition('/')
    stem = name.partition('.')[0]
    return '.'.join((*folder.split('/'), stem)) if folder else stem


def main() -> None:
    """Run the command line from the archive that Python was started with."""
    sys.meta_path.insert(0, CompiledFinder(sys.path[0]))
    from plantaingrade.cli import main as run_cli  # noqa: WPS433

    run_cli()
