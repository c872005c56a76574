"""Modules that the sidecar process imports when it starts."""

import json
import subprocess
import sys

# Each takes 10 to 30 ms of processor time to import, and the first request
# needs none. With hundreds of process restarts a day, starts took more
# processor time than all requests.
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


def test_start_imports_only_what_the_first_request_needs() -> None:
    """Machines are restarted one after another, and callers of an instance wait
    for each start, including all imports at the top of modules.
    """
    listed = subprocess.run(
        [sys.executable, '-c', LIST_MODULES],
        check=True,
        capture_output=True,
    )
    loaded = set(json.loads(listed.stdout))
    assert 'plantaingrade' in loaded
    assert not loaded & NOT_AT_START
