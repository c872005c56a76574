"""Build the one-file zip application.

Compiled modules go in as they are, and are imported from memory when it runs:
nothing is unpacked, and no child process is started. They make the file one
for an interpreter's version and a kind of machine.
"""

import shutil
import subprocess
import sys
import tempfile
import zipapp
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / 'dist' / 'plantaingrade.pyz'
SOURCES = ('*.pyd', '*.c', '*.h', '*.pyx')
# Compiled parts of libraries that do without them.
OPTIONAL = ('yaml/_yaml*.so', 'multidict/*.so')
LEFT_OUT = ('bin', '__pycache__')


def main() -> None:
    """Install what the process needs into a folder, and zip it."""
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
    """Remove what a process never needs."""
    for pattern in (*SOURCES, *OPTIONAL):
        for path in folder.rglob(pattern):
            path.unlink()
    for name in LEFT_OUT:
        for path in folder.rglob(name):
            if path.is_dir():
                shutil.rmtree(path)


if __name__ == '__main__':
    main()
