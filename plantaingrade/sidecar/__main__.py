"""Run the process beside one backend server."""

import signal

# The platform may send this before the imports are done, and its default is to
# end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from plantaingrade.sidecar.run import main  # noqa: E402

main()
