"""Build the single-file zip application.

It contains compiled modules, which are imported from memory at run time:
nothing is unpacked and no child process is started. Because of them, the file
works only with one Python version and machine architecture.
"""

import shutil
import subprocess
import sys
import tempfile
import zipapp
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / 'dist' / 'plantaingrade.pyz'
SOURCE_PATTERNS = ('*.pyd', '*.c', '*.h', '*.pyx')
# Compiled modules of libraries that also work without them.
OPTIONAL_MODULES = ('yaml/_yaml*.so', 'multidict/*.so')
EXCLUDED_FOLDERS = ('bin', '__pycache__')


def main() -> None:
    """Install the package with its dependencies into a folder, and zip it."""
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run(
            [
                sys.executable,
                '-m',
                'pip',
                'install',
                '--quiet',
                '--no-compile',
                '--target',
                folder,
                str(ROOT),
            ],
            check=True,
        )
        strip(Path(folder))
        TARGET.parent.mkdir(exist_ok=True)
        zipapp.create_archive(
            folder,
            TARGET,
            interpreter='/usr/bin/env python3',
            main='plantaingrade.zipped:main',
            compressed=True,
        )
    size = TARGET.stat().st_size
    sys.stdout.write(f'{TARGET.relative_to(ROOT)}: {size} bytes\n')


def strip(folder: Path) -> None:
    """Remove files that are not needed at run time."""
    for pattern in (*SOURCE_PATTERNS, *OPTIONAL_MODULES):
        for path in folder.rglob(pattern):
            path.unlink()
    for name in EXCLUDED_FOLDERS:
        for path in folder.rglob(name):
            if path.is_dir():
                shutil.rmtree(path)


if __name__ == '__main__':
    main()
