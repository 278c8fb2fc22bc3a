"""The newest epochs that a node knows."""

from yarrowloom.node.epochs import KnownEpochs
from yarrowloom.replication.epoch import Epoch


def epoch(*, number: int, primary: str = "a", backups: tuple[str, ...] = ("b",)) -> Epoch:
    return Epoch(number=number, primary=primary, backups=backups, witnesses=("c", "a"), snapshot_id="")


def test_an_epoch_is_replaced_only_by_one_with_a_higher_number() -> None:
    known = KnownEpochs()
    known.learn(epochs=[(1, epoch(number=4))])
    known.learn(epochs=[(1, epoch(number=4, primary="x")), (1, epoch(number=3, primary="y"))])
    assert known.primary(group_id=1) == ("a", 4)
    known.learn(epochs=[(1, epoch(number=5, primary="x"))])
    assert known.primary(group_id=1) == ("x", 5)


def test_of_a_group_without_epoch_nothing_is_known() -> None:
    known = KnownEpochs()
    assert known.primary(group_id=0) is None
    assert known.number(group_id=0) == -1
    assert not known.node_ids()
    assert not known.holders()
    assert not known.rows()


def test_a_node_lacks_the_epochs_whose_numbers_it_does_not_name() -> None:
    known = KnownEpochs()
    known.learn(epochs=[(0, epoch(number=0)), (1, epoch(number=7)), (2, epoch(number=2))])
    assert set(known.newer_than(numbers={})) == {0, 1, 2}
    assert set(known.newer_than(numbers={"0": 0, "1": 6, "2": 3})) == {1}
    assert known.numbers() == {0: 0, 1: 7, 2: 2}


def test_a_holder_comes_once_for_each_group_that_it_holds() -> None:
    known = KnownEpochs()
    known.learn(epochs=[(0, epoch(number=0)), (1, epoch(number=1, primary="b", backups=()))])
    assert known.holders() == ["a", "b", "b"]
    assert set(known.node_ids()) == {"a", "b", "c"}
