"""Trust in predictions: gained and lost by the last outcomes."""

from yarrowloom.prediction.accuracy import Accuracy


def test_trust_turns_only_beyond_both_thresholds() -> None:
    accuracy = Accuracy()
    states = []
    for ok in [True] * 4 + [False] * 7 + [True] * 2 + [False] * 6 + [True] * 14:
        accuracy.record(came_true=ok)
        states.append(accuracy.trust.value)
    flips = [b for a, b in zip(["fresh", *states], states, strict=False) if a != b]
    assert flips == ["on", "off", "on"]
    assert states[6] == "on"
    assert states[-8] == "off"
    assert Accuracy.load(accuracy.dump()).dump() == accuracy.dump()
