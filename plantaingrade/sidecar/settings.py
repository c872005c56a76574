"""Typed settings of one process, as the rest of the product uses them."""

from msgspec import Struct

from plantaingrade.errors import PlantaingradeError


class InstanceSettingsError(PlantaingradeError):
    """Report every setting that cannot be used."""

    advice = 'Correct the fields named in the settings file.'

    def __init__(self, mistakes: list[str]) -> None:
        """Keep the mistakes."""
        self.mistakes = mistakes
        super().__init__('; '.join(mistakes))


class Listeners(Struct, frozen=True):
    """Addresses, ``ip:port``, on which this process listens.

    ``callers`` takes requests of this instance's callers, ``peers`` takes
    requests and datagrams of other processes, ``ready`` answers whether this
    process takes work, ``reports`` takes heartbeats of the backend server and
    ``metrics`` serves figures.
    """

    callers: str
    peers: str
    ready: str
    reports: str
    metrics: str


# Variables that set an option begin so.
ENV_PREFIX = 'PLANTAINGRADE_SIDECAR'


class OwnOptions(Struct, frozen=True):
    """What the operator of a process may set beside the platform's file.

    ``peers_bind`` is where the listener for peers is bound, if a relay stands
    at the address that others know. With ``binds_source`` connections to
    peers start from the address of this instance, whatever route they take.
    """

    peers_bind: str = ''
    binds_source: bool = False


class Bounds(Struct, frozen=True):
    """Times, in seconds, and figures that the platform promises or demands."""

    drain_s: float
    stop_grace_s: float
    max_hold_s: float
    address_reuse_s: float
    heartbeat_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    # A cold server may get its tolerated requests a second times the first
    # figure, and the second one more.
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    # Time from an operator's word until nothing goes to the servers of a zone.
    evacuate_s: float = 0.0


class InstanceSettings(Struct, frozen=True):
    """What a process is told when it starts.

    ``backend`` is the address of the backend server beside this process and
    ``service`` the service it belongs to. A process that ``starts_with_all``
    does so when the whole system starts for the first time.
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
