"""Deployments of the demo: services, servers, zones and addresses."""

from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class ServerSpec:
    """One backend server and the process beside it."""

    name: str
    service: str
    zone: str
    host: str
    relay_host: str
    slots: int
    dialect: str
    checks_fence: bool

    @property
    def http(self) -> str:
        """Return the address of the process for callers and peers."""
        return f'{self.relay_host}:7000'

    @property
    def backend(self) -> str:
        """Return the address of the backend server."""
        return f'{self.host}:8000'


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """One service of a deployment."""

    name: str
    workers: int
    slots: int
    slices: int
    keyed: bool
    dialect: str
    checks_fence: bool


@dataclass(slots=True, frozen=True)
class Deployment:
    """The installation of one user."""

    name: str
    block: int
    zones: tuple[str, ...]
    zone_ms: float
    caller_ms: float
    services: tuple[ServiceSpec, ...]
    weights: str
    tenants: tuple[str, ...]
    servers: list[ServerSpec] = field(default_factory=list)

    @property
    def table(self) -> str:
        """Return the address of the table service."""
        return f'127.9.{self.block}.1:9000'

    @property
    def objects(self) -> str:  # noqa: WPS110
        """Return the address of the object store."""
        return f'127.9.{self.block}.1:9001'

    @property
    def network(self) -> str:
        """Return the control address of the network stand-in."""
        return f'127.9.{self.block}.2:9002'

    def place_servers(self) -> 'Deployment':
        """Distribute the servers of each service evenly over the zones."""
        for service in self.services:
            for number in range(service.workers):
                index = len(self.servers) + 1
                zone = number % len(self.zones)
                self.servers.append(
                    ServerSpec(
                        name=f'{service.name}-{number + 1}',
                        service=service.name,
                        zone=self.zones[zone],
                        host=f'127.{self.block}.{zone}.{index}',
                        relay_host=f'127.{self.block + 1}.{zone}.{index}',
                        slots=service.slots,
                        dialect=service.dialect,
                        checks_fence=service.checks_fence,
                    ),
                )
        return self

    def declaration(self) -> str:
        """Return the declarations document of this deployment."""
        lines = ['services:']
        for service in self.services:
            lines.extend(
                (
                    f'  {service.name}:',
                    f'    slices: {service.slices}',
                    f'    keyed: {str(service.keyed).lower()}',
                    '    unfenced_grace_ms: 400',
                    f'    tenants: [{", ".join(self.tenants)}]',
                    f'    weights: {self.weights}',
                )
            )
        lines.append('')
        return '\n'.join(lines)


def lisbon() -> Deployment:
    """Return the consortium's installation."""
    return Deployment(
        name='lisbon',
        block=21,
        zones=('lx-alcantara', 'lx-oriente', 'lx-benfica'),
        zone_ms=1.0,
        caller_ms=8.0,
        services=(
            ServiceSpec('casebook', 7, 6, 28, True, 'status', False),
            ServiceSpec('referrals', 3, 6, 12, False, 'text', True),
        ),
        weights='{unavailable: 3, imbalance: 1, churn: 1}',
        tenants=('amadora', 'sintra'),
    ).place_servers()


def oslo() -> Deployment:
    """Return Fjordkontor's installation."""
    return Deployment(
        name='oslo',
        block=31,
        zones=('oslo-a', 'oslo-b', 'oslo-c'),
        zone_ms=1.5,
        caller_ms=8.0,
        services=(
            ServiceSpec('booking', 6, 12, 24, True, 'text', True),
            ServiceSpec('leasing', 3, 12, 12, False, 'status', False),
        ),
        weights='{imbalance: 3, unavailable: 1, churn: 1}',
        tenants=('facilities', 'managers'),
    ).place_servers()
