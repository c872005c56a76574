"""Build the one-file zip application.

Only pure-Python parts go in: a zip cannot hold compiled modules, nothing is
unpacked when it runs, and no child process is started.
"""

import shutil
import subprocess
import sys
import tempfile
import zipapp
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / 'dist' / 'plantaingrade.pyz'
COMPILED = ('*.so', '*.pyd', '*.c', '*.h', '*.pyx')
LEFT_OUT = ('bin', '__pycache__', 'yaml/_yaml')


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
            main='plantaingrade.cli:main',
            compressed=True,
        )
    size = TARGET.stat().st_size
    sys.stdout.write(f'{TARGET.relative_to(ROOT)}: {size} bytes\n')


def strip(folder: Path) -> None:
    """Remove what a zip cannot hold or a process never needs."""
    for pattern in COMPILED:
        for path in folder.rglob(pattern):
            path.unlink()
    for name in LEFT_OUT:
        for path in folder.rglob(name):
            if path.is_dir():
                shutil.rmtree(path)


if __name__ == '__main__':
    main()
