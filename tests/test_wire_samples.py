"""The responses of the three programs equal those recorded at commit 147a987, except for masked values."""

import json
from pathlib import Path

from ward import test

from tests.support.wire_samples import mask_varying_values, record_responses

RECORD = Path(__file__).parent / "wire_samples_of_147a987.json"


@test("on the wire: responses of registry, store and proxy equal those of 147a987")
def _() -> None:
    recorded_samples, samples = json.loads(RECORD.read_text()), record_responses()
    assert list(samples) == list(recorded_samples)
    for name, sample in recorded_samples.items():
        assert samples[name] == sample, name


@test("on the wire: only ages and incarnation names are masked")
def _() -> None:
    plain = 'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{"status":200,"a":1}'
    assert mask_varying_values(plain) == plain
    with_age = 'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{"age":0.25,"from":"core-1#0a1b2c3d"}'
    assert mask_varying_values(with_age) == (
        'HTTP/1.1 200 OK\r\nContent-Length: MASKED\r\n\r\n{"age":MASKED,"from":"core-1#LIFE"}'
    )
