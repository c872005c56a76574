"""Run the process beside one backend server."""

import gc
import os
import signal
import sys

# The platform may send this before the imports are done, and its default is to
# end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# What the imports make stays for good; looking through it for garbage takes
# 20 to 30 ms of a start, and 15 ms of a later look at everything (processor
# time, one core).
gc.disable()

from plantaingrade.sidecar.run import run  # noqa: E402
from plantaingrade.sidecar.settings import (  # noqa: E402
    ENV_PREFIX,
    OwnOptions,
)


def is_configured() -> bool:
    """Tell whether options are given, by words or by environment."""
    has_variables = any(name.startswith(ENV_PREFIX) for name in os.environ)
    return has_variables or len(sys.argv) > 1


gc.freeze()
gc.enable()

if is_configured():
    # The platform starts processes without options; each such start is spared
    # the library of the command line, 11 ms of processor time of one core.
    from plantaingrade.sidecar.cli import main

    main()
else:
    run(OwnOptions())
