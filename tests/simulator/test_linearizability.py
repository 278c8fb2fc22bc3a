"""The checkers of histories: a bad history for each rule, and small ones against a search of all orders of events."""

import itertools
import random
from collections.abc import Callable
from typing import Any

import pytest

from tests.support.handwritten_history import Book
from yarrowloom.simulator.judges.history import NEVER_S, AnyOperation, History, Operation, Order, Outcome, ReadConfig
from yarrowloom.simulator.judges.linearizability import check_configuration


def test_a_clean_history_with_races_repeats_and_lost_answers() -> None:
    book = Book()
    book.read(0, 0, 1)
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 3, 5, 3, 4, 503)
    book.order("c", 3, 5, 3.1, 5, 412)
    book.order("b", 3, 5, 5, 6, 200)
    book.order("bad", 5, 7, 6, 7, 400, valid=False)
    book.order("d", 5, 8, 7, NEVER_S, 0)
    book.order("e", 8, 9, 9, 10, 200)
    book.order("a", 0, 3, 10, 11, 200)
    book.read(9, 11, 12, "e")
    assert book.rule() == ""


def two_under_one_number(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 3, 5, 3, 4, 200)
    book.order("c", 3, 5, 3, 4, 200)


def two_on_one_version(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 3, 5, 3, 4, 200)
    book.order("c", 3, 6, 3, 4, 200)


def repeat_refused(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 3, 5, 3, 4, 200)
    book.order("b", 3, 5, 5, 6, 412)


def repeat_refused_later(book: Book) -> None:
    repeat_refused(book)
    book.history.orders.pop()
    book.order("c", 5, 6, 5, 6, 200)
    book.order("b", 3, 5, 7, 8, 412)


def repeat_refused_as_invalid(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.order("c", 3, 5, 2.1, 2.5, 200)
    book.order("a", 0, 3, 3, 4, 400)


def stale_read(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 3, 5, 3, 4, 200)
    book.read(3, 4.5, 5)


def stale_after_another_read(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 3, 5, 3, NEVER_S, 0)
    book.read(5, 4, 5)
    book.read(3, 6, 7)


def read_of_nothing(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.read(4, 4, 5)


def read_before_its_order(book: Book) -> None:
    book.read(3, 0, 0.5)
    book.order("a", 0, 3, 1, 2, 200)


def read_of_the_loser(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 0, 3, 1, 2, 412)
    book.read(3, 4, 5, "b")


def lost(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.read(0, 4, 5)


def refused_without_cause(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 3, 5, 3, 4, 412)
    book.order("c", 3, 6, 5, 6, 200)


def refused_by_what_was_never_taken(book: Book) -> None:
    """A rival was refused, and what it was refused for can't have been taken: the next shows the old version."""
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 3, 5, 3, NEVER_S, 0)
    book.order("c", 3, 6, 3, 4, 412)
    book.read(3, 5, 6)


def invalid_confirmed(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200, valid=False)


def not_rising_confirmed(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 3, 3, 3, 4, 200)


def built_on_nothing(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 4, 5, 3, 4, 200)


def built_on_what_came_later(book: Book) -> None:
    book.order("b", 3, 5, 1, 2, 200)
    book.order("a", 0, 3, 3, 4, 200)


def refused_as_old_too_soon(book: Book) -> None:
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 3, 4, 3, 4, 400)
    book.order("c", 3, 9, 5, 6, 200)


BAD: list[tuple[str, Callable[[Book], None]]] = [
    ("number-confirmed-twice", two_under_one_number),
    ("base-confirmed-twice", two_on_one_version),
    ("repeat-refused", repeat_refused),
    ("repeat-refused", repeat_refused_later),
    ("repeat-refused", repeat_refused_as_invalid),
    ("read-contradicted", stale_read),
    ("read-contradicted", stale_after_another_read),
    ("read-contradicted", read_of_nothing),
    ("read-contradicted", read_before_its_order),
    ("read-contradicted", read_of_the_loser),
    ("read-contradicted", lost),
    ("refused-without-cause", refused_without_cause),
    ("read-contradicted", refused_by_what_was_never_taken),
    ("invalid-confirmed", invalid_confirmed),
    ("invalid-confirmed", not_rising_confirmed),
    ("not-linearizable", built_on_nothing),
    ("not-linearizable", built_on_what_came_later),
    ("refused-without-cause", refused_as_old_too_soon),
]


@pytest.mark.parametrize(("rule", "make"), BAD, ids=lambda x: x if isinstance(x, str) else x.__name__)
def test_each_bad_history_is_found_and_named(rule: str, make: Callable[[Book], None]) -> None:
    book = Book()
    make(book)
    assert book.rule() == rule


def test_the_breach_names_only_what_contradicts_in_a_long_history() -> None:
    book = Book()
    for i in range(400):
        book.order(f"o{i}", i, i + 1, 10 * i, 10 * i + 1, 200)
        book.read(i + 1, 10 * i + 2, 10 * i + 3, f"o{i}")
    assert book.rule() == ""
    book.order("o70", 70, 71, 5000, 5001, 412)
    wrong = book.number
    assert book.rule() == "repeat-refused"
    assert book.guilty() == [141, wrong]


def test_unclear_answers_may_have_happened_at_any_later_time() -> None:
    book = Book()
    book.order("a", 0, 3, 1, 2, 200)
    book.order("b", 3, 5, 3, 4, 503)
    book.read(3, 10, 11)
    book.order("c", 3, 6, 12, 13, 412)  # by b, which was taken late
    assert book.rule() == ""
    book.read(3, 14, 15)
    assert book.rule() == "read-contradicted"


# -- against all orders of events


def permitted(*, version: int, made: str, taken: set[str], op: AnyOperation) -> tuple[int, str] | None:
    """The register after an operation with the answer it got; None: it could not have got that."""
    what = op.argument
    if isinstance(what, ReadConfig):
        assert op.seen is not None
        fits = op.seen.version == version and op.seen.identity in (None, made)
        return (version, made) if fits else None
    assert isinstance(what, Order)
    able = what.valid and what.version > what.base
    known = what.identity in taken
    if op.outcome is Outcome.REFUSED:
        if not able:
            return version, made
        cause = version != what.base if op.status == 412 else version >= what.version
        return (version, made) if cause and not known else None
    if known:
        return version, made
    return (what.version, what.identity) if able and version == what.base else None


def searched(*, ops: list[AnyOperation]) -> bool:
    """Whether some order of events explains all answers, by trying all of them."""

    def step(left: frozenset[int], version: int, made: str, taken: frozenset[str]) -> bool:
        if all(ops[i].outcome is Outcome.UNCLEAR for i in left):
            return True
        key = (left, version, made, taken)
        if key in failed:
            return False
        horizon = min(ops[i].returned_s if ops[i].outcome is not Outcome.UNCLEAR else NEVER_S for i in left)
        for i in left:
            if ops[i].invoked_s <= horizon:
                after = permitted(version=version, made=made, taken=set(taken), op=ops[i])
                if after is not None and step(left - {i}, *after, taken | {after[1]}):
                    return True
        failed.add(key)
        return False

    failed: set[Any] = set()
    return step(frozenset(range(len(ops))), 0, "", frozenset({""}))


def some_history(*, rng: random.Random) -> History:
    """A few orders and reads on few versions, with answers that are often right."""
    book = Book()
    names = []
    for i in range(rng.randint(1, 4)):
        base = rng.choice([0, 0, 1, 2, 3])
        names.append((f"o{i}", base, rng.choice([base, base + 1, base + 1, base + 2]), rng.random() < 0.9))
    for _ in range(rng.randint(2, 8)):
        start = float(rng.randint(0, 12))
        end = start + rng.randint(0, 5) + 0.5
        if rng.random() < 0.3:
            version = rng.randint(0, 4)
            who = [n for n, _, v, _ in names if v == version]
            book.read(version, start, end, rng.choice([None, *who]) if version else None)
        else:
            name, base, version, valid = rng.choice(names)
            status = rng.choice([200, 200, 412, 503, 0, 400] if valid else [400, 412, 412, 503, 0, 200])
            book.order(name, base, version, start, end if status else NEVER_S, status, valid=valid)
    return book.history


def register_history(*, rng: random.Random, mutate: bool) -> History:
    """What a true register answers a few calls; or that, with one answer or one moment changed."""
    book = Book()
    orders = []
    for i in range(rng.randint(2, 5)):
        base = rng.choice([0, 1, 2, 3])
        orders.append(
            Order(identity=f"o{i}", base=base, version=base + rng.choice([0, 1, 1, 1, 2, 2]), valid=rng.random() < 0.95)
        )
    spans = []
    for _ in range(rng.randint(4, 9)):
        start = rng.uniform(0, 12)
        clear = rng.random() < 0.75
        end = start + rng.uniform(0.1, 5) if clear else NEVER_S
        spans.append((rng.uniform(start, end if clear else 20.0), start, end))
    version, made, taken = 0, "", {""}
    for i, (_, start, end) in enumerate(sorted(spans)):
        wrong = mutate and i == len(spans) // 2
        if rng.random() < 0.3 and end != NEVER_S:
            book.read(rng.randint(0, 4) if wrong else version, start, end, None if wrong or not version else made)
            continue
        order = rng.choice(orders)
        status = 400
        if order.identity in taken:
            status = 200
        elif order.valid and order.version > order.base:
            status = 200 if order.base == version else 412
        if status == 200 and order.identity not in taken:
            version, made = order.version, order.identity
            taken.add(made)
        if wrong:
            status = rng.choice([200, 412, 400])
            end = start + 0.1
        book.add(order, start, end, 0 if end == NEVER_S else status)
    return book.history


@pytest.mark.parametrize("seed", range(40))
def test_small_histories_are_judged_as_by_a_search_of_all_orders(seed: int) -> None:
    rng = random.Random(seed)
    found = {True: 0, False: 0}
    for i in range(250):
        history = register_history(rng=rng, mutate=i % 5 > 1) if i % 5 else some_history(rng=rng)
        ops: list[AnyOperation] = [*history.orders, *history.reads]
        want = searched(ops=ops)
        breach = check_configuration(history=history)
        assert i % 5 != 1 or want
        assert (breach is None) is want, "\n".join(map(str, sorted(ops, key=lambda op: op.invoked_s)))
        found[want] += 1
        if breach is not None:  # and what it names is a smallest contradiction
            clear = set(breach.operations)
            unclear = [op for op in ops if op.outcome is Outcome.UNCLEAR]
            doubt = [
                Operation(number=op.number, process="", argument=op.argument, invoked_s=op.invoked_s)
                for op in ops
                if isinstance(op.argument, Order) and op not in clear and op not in unclear
            ]
            for kept in itertools.combinations(breach.operations, len(clear) - 1):
                gone = [
                    Operation(number=op.number, process="", argument=op.argument, invoked_s=op.invoked_s)
                    for op in clear - set(kept)
                    if isinstance(op.argument, Order)
                ]
                assert searched(ops=[*kept, *unclear, *doubt, *gone])
            assert not searched(ops=[*clear, *unclear, *doubt])
    assert min(found.values()) > 20
