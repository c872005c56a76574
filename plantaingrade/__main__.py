"""Entry point of ``python -m plantaingrade`` and of the zip application."""

from plantaingrade.cli import main

if __name__ == '__main__':
    main()
