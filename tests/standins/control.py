"""Sets faults of stand-ins and reads their records."""

from typing import Final

import msgspec
import urllib3

from tests import fleet
from tests.standins import serving

_HTTP: Final = urllib3.PoolManager()


def faults(proc: fleet.Proc, **fields: object) -> None:
    """Sets the faults that are named; the others stay."""
    url = f'http://{proc.address}/faults'
    assert _HTTP.request('POST', url, json=fields).status == 200


def record(proc: fleet.Proc, path: str = 'record') -> list[serving.Execution]:
    """Returns what a stand-in executed."""
    resp = _HTTP.request('GET', f'http://{proc.address}/{path}')
    return msgspec.json.decode(resp.data, type=list[serving.Execution])
