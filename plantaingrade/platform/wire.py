"""Assembly of the adapter's decoders, encoders and clients."""

from functools import partial

from plantaingrade.clock import Clock
from plantaingrade.http.pool import Pool
from plantaingrade.platform.config import decode_config
from plantaingrade.platform.const import (
    KEY_CONFIG,
    PATH_READY,
    PREFIX_EVACUATION,
    TABLE_OPERATOR,
)
from plantaingrade.platform.headers import (
    answer_headers,
    decode_reply,
    decode_request,
    encode_to_server,
)
from plantaingrade.platform.orders import OrderClient
from plantaingrade.platform.reports import decode_report
from plantaingrade.platform.store import StoreClient
from plantaingrade.sidecar.adapter import PlatformAdapter
from plantaingrade.sidecar.settings import InstanceSettings


def make_wire(settings: InstanceSettings, clock: Clock) -> PlatformAdapter:
    """Return the adapter for the platform that the settings describe."""
    return PlatformAdapter(
        config_table=TABLE_OPERATOR,
        config_key=KEY_CONFIG,
        evacuation_prefix=PREFIX_EVACUATION,
        ready_path=PATH_READY,
        decode_config=decode_config,
        decode_request=decode_request,
        encode_to_server=encode_to_server,
        decode_reply=decode_reply,
        answer_headers=answer_headers,
        decode_report=decode_report,
        make_store=partial(_make_store, settings, clock),
        make_orders=partial(_make_orders, settings),
    )


def _make_store(
    settings: InstanceSettings, clock: Clock, pool: Pool
) -> StoreClient:
    return StoreClient(pool, settings.store, clock)


def _make_orders(settings: InstanceSettings, pool: Pool) -> OrderClient:
    return OrderClient(pool, settings.backend)
