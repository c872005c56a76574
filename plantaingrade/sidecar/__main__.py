"""Run the sidecar process of one backend server."""

import gc
import os
import signal
import sys

# The platform may send SIGHUP before the imports are done, and its default
# action ends the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Objects created by the imports live as long as the process. Collecting them
# takes 20 to 30 ms of processor time at a start, and 15 ms of each later full
# collection (one core).
gc.disable()

from plantaingrade.sidecar.run import run  # noqa: E402
from plantaingrade.sidecar.settings import (  # noqa: E402
    ENV_PREFIX,
    ProcessOptions,
)


def is_configured() -> bool:
    """Return whether any option is set, by argument or environment."""
    has_variables = any(name.startswith(ENV_PREFIX) for name in os.environ)
    return has_variables or len(sys.argv) > 1


gc.freeze()
gc.enable()

if is_configured():
    # The platform starts processes without options. Such a start does not
    # import click, which saves 11 ms of processor time (one core).
    from plantaingrade.sidecar.cli import main

    main()
else:
    run(ProcessOptions())
