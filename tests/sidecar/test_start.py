"""What a start of the process beside a server loads."""

import json
import subprocess
import sys

# Each takes 10 to 30 ms of processor time, and none is needed for the first
# request. On a day on which hundreds of processes are killed and start again,
# starts took more time than all requests.
NOT_AT_START = frozenset(
    (
        'absl',
        'attr',
        'cattrs',
        'click',
        'grpclib',
        'h2',
        'lark',
        'opentelemetry',
        'prometheus_client',
        'yaml',
    )
)
LIST_MODULES = (
    'import json, sys, plantaingrade.sidecar.run;'
    'print(json.dumps(sorted({name.split(".")[0] for name in sys.modules})))'
)


def test_a_start_loads_only_what_the_first_request_needs() -> None:
    """Machines are stopped and started in turn, and each start is a wait.

    Whatever a module imports at its top is paid for at every start, by the
    callers of that instance.
    """
    listed = subprocess.run(
        [sys.executable, '-c', LIST_MODULES],
        check=True,
        capture_output=True,
    )
    loaded = set(json.loads(listed.stdout))
    assert 'plantaingrade' in loaded
    assert not loaded & NOT_AT_START
