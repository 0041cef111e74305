"""The three programs answer as those of commit 147a987 did, byte for byte but for what is masked."""

import json
from pathlib import Path

from ward import test

from tests.support.wire_samples import masked, recorded

RECORD = Path(__file__).parent / "wire_samples_of_147a987.json"


@test("on the wire: registry, store and proxy answer as those of 147a987")
def _() -> None:
    before, now = json.loads(RECORD.read_text()), recorded()
    assert list(now) == list(before)
    for name, answer in before.items():
        assert now[name] == answer, name


@test("on the wire: masked are ages and names of lives, and nothing else")
def _() -> None:
    plain = 'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{"status":200,"a":1}'
    assert masked(plain) == plain
    aged = 'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{"age":0.25,"from":"core-1#0a1b2c3d"}'
    assert masked(aged) == (
        'HTTP/1.1 200 OK\r\nContent-Length: MASKED\r\n\r\n{"age":MASKED,"from":"core-1#LIFE"}'
    )
