"""Settings of one process, independent of the platform's format."""

from msgspec import Struct

from plantaingrade.errors import PlantaingradeError


class InstanceSettingsError(PlantaingradeError):
    """Raised with all invalid settings of a file."""

    advice = 'Correct the fields named in the settings file.'

    def __init__(self, mistakes: list[str]) -> None:
        """Store the messages, one per invalid setting."""
        self.mistakes = mistakes
        super().__init__('; '.join(mistakes))


class Listeners(Struct, frozen=True):
    """Addresses, ``ip:port``, on which this process listens.

    ``callers`` receives requests of this instance's callers, ``peers`` requests
    and datagrams of other processes, and ``reports`` heartbeats of the backend
    server; ``ready`` answers whether this process accepts work, and
    ``metrics`` serves metrics.
    """

    callers: str
    peers: str
    ready: str
    reports: str
    metrics: str


# Prefix of the environment variables that set options.
ENV_PREFIX = 'PLANTAINGRADE_SIDECAR'


class ProcessOptions(Struct, frozen=True):
    """Options of a process that are not in the platform's settings file.

    ``peers_bind`` is the address of the listener for peers, if a proxy listens
    at the advertised address. With ``binds_source`` connections to peers use
    the address of this instance as their source, whatever route they take.
    """

    peers_bind: str = ''
    binds_source: bool = False


class Bounds(Struct, frozen=True):
    """Times, in seconds, and limits that the platform sets or guarantees."""

    drain_s: float
    stop_grace_s: float
    max_hold_s: float
    address_reuse_s: float
    heartbeat_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    # A cold server may get ``cold_overage`` times the rate of requests that it
    # tolerates, plus ``cold_slack`` requests.
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    # Time from an operator's request to evacuate a zone until its servers must
    # get no more work.
    evacuate_s: float = 0.0


class InstanceSettings(Struct, frozen=True):
    """Settings that a process reads when it starts.

    ``backend`` is the address of the local backend server and ``service`` the
    service it belongs to. ``starts_with_all`` is set for a process that starts
    when the whole system starts for the first time. ``memory_mb`` is the memory
    that the process may use, in MB, and ``link_mbps`` the rate of its link, in
    Mbit/s; each is 0 if it is not known.
    """

    name: str
    zone: str
    ip: str
    service: str
    backend: str
    store: str
    listeners: Listeners
    bounds: Bounds
    max_row_bytes: int
    starts_with_all: bool = False
    memory_mb: float = 0.0
    link_mbps: float = 0.0
