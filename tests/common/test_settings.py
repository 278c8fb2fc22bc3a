"""The settings file under random damage, and its single rules."""

import random
from typing import Any

import pytest

from tests.support.json_noise import noise
from tests.support.loopback import settings
from yarrowloom.common.errors import SettingsError, YarrowError
from yarrowloom.common.settings import check


@pytest.mark.parametrize("seed", range(100))
def test_settings_are_read_or_refused_with_all_findings(seed: int) -> None:
    rng = random.Random(seed)
    document = {
        "node-name": "n",
        "role": "r",
        "ip": "10.0.0.1",
        "zone": "z",
        "zones": {"z": "r"},
        "bootstrap": True,
        "bind-addrs": {"control": "10.0.0.1:80"},
        "internal-ports": [10, 20],
        "seed-nodes": ["10.0.0.1:80"],
        "data-dir": "/d",
        "limits": {"disk-mb": 4},
        "beat-interval-ms": 1000,
        "bounds": {"drain-ms": 5},
    }
    check(document=document)
    try:
        check(document=noise(rng=rng, document=document))
    except SettingsError as err:
        if not err.findings or err.exit_code != 78:
            pytest.fail(f"refused without findings or with another exit code: {err.findings}, {err.exit_code}")
    except YarrowError as err:
        raise AssertionError("another code") from err


def test_a_link_rate_that_is_not_above_zero_is_refused() -> None:
    document: dict[str, Any] = {
        "node-name": "n",
        "role": "edge",
        "ip": "10.0.0.1",
        "zone": "a",
        "bind-addrs": {},
        "internal-ports": [7000, 7009],
        "seed-nodes": [],
    }
    assert check(document=document).link_mbps == 1000.0
    assert check(document={**document, "limits": {"link-mbps": 2}}).link_mbps == 2.0
    for bad in (0, -1, "2", True, None):
        with pytest.raises(SettingsError) as err:
            check(document={**document, "limits": {"link-mbps": bad}})
        assert [f.place for f in err.value.findings] == ["limits.link-mbps"]


UNUSABLE_SIZES: list[Any] = [{}, "x", [1], True, -1, float("nan"), float("inf")]


# Guards against a settings file that ends the process that reads it, in place of being refused (issue 33).
@pytest.mark.parametrize(
    ("change", "place"),
    [
        *(({"limits": {key: size}}, f"limits.{key}") for key in ("disk-mb", "memory-mb") for size in UNUSABLE_SIZES),
        ({"seed-nodes": ["h:\u00b2"]}, "seed-nodes[0]"),
    ],
)
def test_values_that_cannot_be_used_are_findings(change: dict[str, Any], place: str) -> None:
    document = settings(binds={}, inner=7000, seed="h:1", data=None)
    with pytest.raises(SettingsError) as caught:
        check(document={**document, **change})
    assert [finding.place for finding in caught.value.findings] == [place]
