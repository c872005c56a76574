"""Run the process beside one backend server."""

import gc
import signal

# The platform may send this before the imports are done, and its default is to
# end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# What the imports make stays for good; looking through it for garbage takes
# 20 to 30 ms of a start, and 15 ms of a later look at everything (processor
# time, one core).
gc.disable()

from plantaingrade.sidecar.run import main  # noqa: E402

gc.freeze()
gc.enable()

main()
