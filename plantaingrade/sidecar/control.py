"""HTTP endpoints for requests between processes, under ``/-/``."""

from collections.abc import Awaitable, Callable

from plantaingrade.balance.coordinator import BalanceCoordinator
from plantaingrade.codec import MalformedMessageError
from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.holds.coordinator import HoldCoordinator
from plantaingrade.http.messages import Request
from plantaingrade.operators.api import OperatorApi
from plantaingrade.peers.calls import OFFER_CODEC, REPLY_CODEC
from plantaingrade.peers.coordinator import PeerCoordinator
from plantaingrade.peers.map_follower import HEADER_VERSION, PATH_MAP
from plantaingrade.requests.entity import Answer
from plantaingrade.store.relay import RelayHandler

StoreCall = Callable[[bytes], Awaitable[bytes]]
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404


class ControlHandler:
    """Handles control requests of other processes and of operators."""

    __slots__ = (
        '_balance',
        '_config',
        '_store_relay',
        '_holds',
        '_operators',
        '_peers',
    )

    def __init__(
        self,
        peers: PeerCoordinator,
        holds: HoldCoordinator,
        balance: BalanceCoordinator,
        config: ConfigFollower,
        store_relay: RelayHandler,
        operators: OperatorApi,
    ) -> None:
        """Handle requests with the parts of the process."""
        self._peers = peers
        self._holds = holds
        self._balance = balance
        self._config = config
        self._store_relay = store_relay
        self._operators = operators

    async def async_handle(self, raw: Request, body: bytes) -> Answer:
        """Handle one control request."""
        target = raw.target.decode('ascii', 'replace')
        if target.startswith(PATH_MAP):
            service = target.removeprefix(PATH_MAP)
            version, encoded = self._peers.map_follower.encode_known(service)
            headers = ((HEADER_VERSION, str(version).encode()),)
            return Answer(STATUS_OK, headers, encoded)
        if target == '/-/statement':
            return await self._operators.async_statement(raw, body)
        try:
            return await self._async_answer(target, body)
        except MalformedMessageError:
            return Answer(STATUS_BAD_REQUEST, (), b'')

    async def _async_answer(self, target: str, body: bytes) -> Answer:
        call_store = self._find_store_call(target)
        if call_store is not None:
            return Answer(STATUS_OK, (), await call_store(body))
        match target:
            case '/-/config':
                return self._answer_config()
            case '/-/handed':
                return self._apply_handover(body)
            case '/-/offer':
                return self._answer_offer(body)
            case '/-/witness':
                return Answer(STATUS_OK, (), self._peers.witnesses.answer(body))
            case '/-/move':
                return await self._operators.async_move(body)
            case '/-/wish':
                return await self._operators.async_read_desired_state()
        return Answer(STATUS_NOT_FOUND, (), b'')

    def _find_store_call(self, target: str) -> StoreCall | None:
        """Return the store call that another process wants, if any."""
        match target:
            case '/-/store/commit':
                return self._store_relay.async_commit
            case '/-/store/read':
                return self._store_relay.async_read
            case '/-/store/renew':
                return self._store_relay.async_renew
        return None

    def _answer_config(self) -> Answer:
        config = self._config.config
        if config is None:
            return Answer(STATUS_NOT_FOUND, (), b'')
        return Answer(STATUS_OK, (), config.source)

    def _apply_handover(self, body: bytes) -> Answer:
        handed = self._peers.receive_handover(body)
        if handed is None:
            return Answer(STATUS_BAD_REQUEST, (), b'')
        for token in handed.tokens:
            self._holds.expect_handover(token)
        return Answer(STATUS_OK, (), b'')

    def _answer_offer(self, body: bytes) -> Answer:
        reply = self._balance.on_offer(OFFER_CODEC.decode(body))
        return Answer(STATUS_OK, (), REPLY_CODEC.encode(reply))
