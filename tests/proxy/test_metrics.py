"""The proxy's metrics: which requests they count."""

from ward import test

from ashlift.proxy.metrics import proxy_metrics
from tests.support.proxy_site import ProxySite

OUTSIDE_HOME = 'ashlift_requests_outside_home_total{route="look-0"}'
ANSWERED = 'ashlift_request_ends_total{end="answered"}'


def metric_values(site: ProxySite) -> dict[str, str]:
    """The values of the proxy's metrics by name and label."""
    lines = proxy_metrics(site.proxy.request_handler).render().splitlines()
    return dict(line.rsplit(" ", 1) for line in lines if not line.startswith("#"))


@test("requests received outside the home regions of their route are counted by route, others are not")
def _() -> None:
    site = ProxySite()
    site.send(idempotent=True)
    assert OUTSIDE_HOME not in metric_values(site)
    site.proxy.set_home_regions("look-0", ["r1"])  # the proxy's own region
    site.send(idempotent=True)
    assert OUTSIDE_HOME not in metric_values(site)
    site.proxy.set_home_regions("look-0", ["r2"])
    for _ in range(3):
        assert site.send(idempotent=True).status == 503  # no worker is there
    site.send(idempotent=False)  # a route without home regions
    assert metric_values(site)[OUTSIDE_HOME] == "3"
    assert metric_values(site)[ANSWERED] == "6"
    site.close()
