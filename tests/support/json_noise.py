"""Random damage to JSON documents."""

import random
from typing import Any


def noise(*, rng: random.Random, document: Any, depth: int = 0) -> Any:
    """The document with some parts replaced, dropped or doubled."""
    if rng.random() < 0.08:
        return rng.choice([None, True, -1, 0, 1.5, 1 << 62, "", "x", [], {}, [[]], {"a": 1}])
    if isinstance(document, dict):
        out = {k: noise(rng=rng, document=v, depth=depth + 1) for k, v in document.items() if rng.random() > 0.05}
        return out if rng.random() > 0.05 else {**out, "strange": 1}
    if isinstance(document, list):
        rows = [noise(rng=rng, document=v, depth=depth + 1) for v in document if rng.random() > 0.05]
        return rows + rows[:1] if rng.random() < 0.05 else rows
    return document
