"""Answers operators' queries from the state that this process knows."""

from collections.abc import Callable
from typing import Any

from msgspec import Struct
from msgspec.structs import asdict

from plantaingrade.backends.report import ServerIncarnation
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.clock import Clock
from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KEY_COUNT
from plantaingrade.operators.entity import (
    OwnerOf,
    Query,
    ShowConfig,
    ShowServers,
    ShowSlices,
)
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member


class LocalState(Struct, frozen=True):
    """What one process knows of members, maps, loads and configuration."""

    own: Member
    directory: Directory
    maps: KeyMaps
    loads: PeerLoads
    config: ConfigFollower
    clock: Clock


class QueryAnswerer:
    """Answers queries without asking other processes."""

    __slots__ = (
        '_clock',
        '_config',
        '_directory',
        '_get_incarnation',
        '_loads',
        '_maps',
        '_own',
    )

    def __init__(
        self,
        state: LocalState,
        get_incarnation: Callable[[], ServerIncarnation],
    ) -> None:
        """Answer from the state of one process.

        ``get_incarnation`` returns the own server's incarnation.
        """
        self._own = state.own
        self._directory = state.directory
        self._maps = state.maps
        self._loads = state.loads
        self._config = state.config
        self._clock = state.clock
        self._get_incarnation = get_incarnation

    def answer(self, query: Query) -> Any:
        """Return the fields of the answer to a query."""
        match query:
            case OwnerOf(service=service, key=key):
                return self._explain_owner(service, key)
            case ShowServers(service=service):
                return [
                    self._describe_member(member)
                    for member in self._directory.members()
                    if service in {'', member.service}
                ]
            case ShowSlices(service=service):
                key_map = self._maps.find(service)
                return [
                    {
                        **asdict(each.keys),
                        'owner': each.owner,
                        'fence': each.fence,
                    }
                    for each in key_map.assignments
                ]
            case ShowConfig():
                config = self._config.config
                source = b'' if config is None else config.source
                return {
                    'version': self._config.version,
                    'text': source.decode(errors='replace'),
                }
        return {'error': 'not supported on this platform'}

    def _explain_owner(self, service: str, key: str) -> dict[str, Any]:
        if not key.isdigit() or int(key) >= KEY_COUNT:
            return {'error': f'{key!r} is not a key: 0 to {KEY_COUNT - 1}'}
        key_map = self._maps.find(service)
        assignment = key_map.find(int(key))
        if assignment is None:
            return {'error': f'no keys of {service!r} are known here'}
        member = self._directory.find(assignment.owner)
        return {
            'owner': assignment.owner,
            'address': '' if member is None else member.address,
            'first': assignment.keys.first,
            'last': assignment.keys.last,
            'fence': assignment.fence,
            'map_version': key_map.version,
            'why': 'assigned in the row of the store with this version',
            'known_by': self._own.name,
            **self._describe_incarnation(assignment.owner),
        }

    def _describe_member(self, member: Member) -> dict[str, Any]:
        now = self._clock.now()
        load = self._loads.find(member.name, now)
        owned = self._maps.find(member.service).owned_by(member.name)
        return {
            **asdict(member),
            'ranges': len(owned),
            'keys': sum(len(each.keys) for each in owned),
            'load': None if load is None else load.share,
            'suspect': self._directory.is_suspect(member.name, now),
            **self._describe_incarnation(member.name),
        }

    def _describe_incarnation(self, name: str) -> dict[str, Any]:
        """Return the incarnation of a server; only its process knows it."""
        if name != self._own.name:
            return {}
        incarnation = self._get_incarnation()
        return {
            'instance': incarnation.instance,
            'born_ms': incarnation.born_ms,
        }
