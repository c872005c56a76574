"""Interface between the process and the adapter of a platform."""

from collections.abc import Callable

from msgspec import Struct

from plantaingrade.backends.report import Farewell, Heartbeat
from plantaingrade.config.entity import RoutingConfig
from plantaingrade.holds.orders import ServerOrders
from plantaingrade.http.messages import Request, Response
from plantaingrade.http.pool import Pool
from plantaingrade.requests.entity import (
    CallerRequest,
    Headers,
    RoutedRequest,
    ServerReply,
)
from plantaingrade.store.interface import Store


class PlatformAdapter(Struct, frozen=True):
    """Names, codecs and clients specific to a platform."""

    config_table: str
    config_key: str
    evacuation_prefix: str
    ready_path: bytes
    decode_config: Callable[[bytes], RoutingConfig]
    decode_request: Callable[[Request, bytes, float], CallerRequest]
    encode_to_server: Callable[[RoutedRequest, str, float], list]
    decode_reply: Callable[[Response], ServerReply]
    answer_headers: Callable[[bytes], Headers]
    decode_report: Callable[[Request, bytes], Heartbeat | Farewell | None]
    make_store: Callable[[Pool], Store]
    make_orders: Callable[[Pool], ServerOrders]
