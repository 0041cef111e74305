"""The responses of the three programs equal those recorded at commit 147a987, except for masked values.

Records of departures (`d/`) are newer: each stands beside the tombstone that was recorded, and is removed
before the comparison. So are the age of usage totals (`lag`), one in each response to `pull`, and the recent
usage (`recent`), one in each snapshot of a registry's records.
"""

import json
import re
from pathlib import Path

from ward import test

from tests.support.wire_samples import mask_varying_values, record_responses

RECORD = Path(__file__).parent / "wire_samples_of_147a987.json"
DEPARTURE = re.compile(r'"d/w3": \[1099511627776, "", \d+\.\d+\], ')  # sequence number, address, age
PULL_USAGE_AGE = re.compile(r', "lag": \d+\.\d+')
RECENT_USAGE = re.compile(r'"recent": \[\d+\.\d+, \{[^{}]*\}\], ')
REGISTRY_SNAPSHOT = '"run": '
PULL_RESPONSE = '"alive": '
TOMBSTONE = '"w/w3": {"address": "0.0.0.0:1"'


@test("on the wire: responses of registry, store and proxy equal those of 147a987")
def _() -> None:
    recorded_samples, samples = json.loads(RECORD.read_text()), record_responses()
    assert list(samples) == list(recorded_samples)
    for name, sample in recorded_samples.items():
        without_departures, count = DEPARTURE.subn("", samples[name])
        assert count == sample.count(TOMBSTONE), name
        without_ages, count = PULL_USAGE_AGE.subn("", without_departures)
        assert count == sample.count(PULL_RESPONSE), name
        without_recent_usage, count = RECENT_USAGE.subn("", without_ages)
        assert count == sample.count(REGISTRY_SNAPSHOT), name
        assert without_recent_usage == sample, name
    assert any(TOMBSTONE in sample for sample in recorded_samples.values())


@test("on the wire: only ages and incarnation names are masked")
def _() -> None:
    plain = 'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{"status":200,"a":1}'
    assert mask_varying_values(plain) == plain
    with_age = 'HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{"age":0.25,"from":"core-1#0a1b2c3d"}'
    assert mask_varying_values(with_age) == (
        'HTTP/1.1 200 OK\r\nContent-Length: MASKED\r\n\r\n{"age":MASKED,"from":"core-1#LIFE"}'
    )
