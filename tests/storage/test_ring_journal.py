"""The disk ring against an oracle: what was synced comes back, in order, and nothing that is not a prefix of it."""

import os
import pathlib
import random

import pytest

from yarrowloom.storage import SNAPSHOT_END, RingJournal


def fill(*, rng: random.Random, ring: RingJournal, kept: list[bytes], n: int) -> None:
    """Append batches; on each turn of the ring a snapshot stands for all before."""
    for _ in range(n):
        bodies = [rng.randbytes(rng.randint(0, 300)) for _ in range(rng.randint(1, 4))]
        if ring.is_full(extra_bytes=ring.encoded_bytes(bodies=bodies)):
            ring.rotate()
            mark = b"snapshot %d" % len(kept)
            ring.append(bodies=[mark, *bodies])
            kept[:] = [mark, *bodies]
        else:
            ring.append(bodies=bodies)
            kept += bodies


@pytest.mark.parametrize("seed", range(12))
def test_synced_records_come_back(seed: int, tmp_path: pathlib.Path) -> None:
    rng = random.Random(seed)
    kept: list[bytes] = []
    for _ in range(4):
        ring = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096)
        got = ring.load()
        assert got[len(got) - len(kept) :] == kept
        ring.rotate()
        mark = b"start"
        ring.append(bodies=[mark])
        kept = [mark]
        fill(rng=rng, ring=ring, kept=kept, n=rng.randint(1, 60))
        ring.close()


@pytest.mark.parametrize("seed", range(40))
def test_torn_or_foreign_bytes_end_the_journal_and_are_not_guessed_at(seed: int, tmp_path: pathlib.Path) -> None:
    rng = random.Random(1000 + seed)
    ring = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096)
    assert ring.load() == []
    ring.rotate()
    kept: list[bytes] = []
    fill(rng=rng, ring=ring, kept=kept, n=rng.randint(1, 80))
    ring.close()
    whole = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096).load()
    path = rng.choice(sorted(tmp_path.glob("ring-*")))
    raw = bytearray(path.read_bytes())
    at = rng.randrange(len(raw))
    end = min(len(raw), at + rng.randint(1, 64))
    raw[at:end] = rng.choice([bytes(end - at), rng.randbytes(end - at)])
    path.write_bytes(bytes(raw))
    got = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096).load()
    runs = [whole[i : i + len(got)] for i in range(len(whole) - len(got) + 1)]
    assert got in runs  # a stretch of what was written, nothing else


def test_a_foreign_file_is_passed_over(tmp_path: pathlib.Path) -> None:
    (tmp_path / "ring-1").write_bytes(b"something else entirely" * 100)
    ring = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096)
    assert ring.load() == []
    ring.rotate()
    ring.append(bodies=[b"x"])
    ring.close()
    assert RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096).load() == [b"x"]


def test_files_grow_where_a_snapshot_would_fill_them(tmp_path: pathlib.Path) -> None:
    """A file that a snapshot nearly fills would be left again after a few records, each time for another one."""
    ring = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096, max_file_bytes=32768)
    ring.load()
    ring.rotate()
    ring.append(bodies=[b"old"])
    big = [b"c" * 5000]
    ring.rotate(snapshot_bytes=ring.encoded_bytes(bodies=big))
    ring.append(bodies=big)
    rotations = 0
    for i in range(50):
        record = [b"%04d" % i * 10]
        if ring.is_full(extra_bytes=ring.encoded_bytes(bodies=record)):
            rotations += 1
            ring.rotate(snapshot_bytes=ring.encoded_bytes(bodies=big))
            ring.append(bodies=big)
        ring.append(bodies=record)
    assert rotations == 0
    assert ring.file_bytes == 16384
    again = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096, max_file_bytes=32768)
    assert again.load()[:2] == [b"old", big[0]]
    assert len(again.load()) >= 2


def cut(*, path: pathlib.Path, at: int) -> None:
    """What no sync covered is gone: zeros from there on."""
    raw = path.read_bytes()
    path.write_bytes(raw[:at] + bytes(len(raw) - at))


def test_records_that_a_killed_process_left_unsynced_and_a_later_loss_of_power(tmp_path: pathlib.Path) -> None:
    """Seen on tsr-grown trouble-2 (simulated): a process is killed between write and sync; the next one reads its last
    record and numbers on from it; later the power goes and takes that record, but not what followed in the next file.
    All that followed was dropped for the gap, a whole group's state with it."""
    first = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096)
    first.load()
    first.rotate()
    first.append(bodies=[b"c0", SNAPSHOT_END])
    synced = first._position
    first.append(bodies=[b"never synced"])
    slot = tmp_path / f"ring-{first._highest_file % 4}"
    second = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096)
    assert second.load() == [b"c0", SNAPSHOT_END, b"never synced"]
    second.rotate()
    second.append(bodies=[b"c1", SNAPSHOT_END])
    second.append(bodies=[b"acknowledged"])
    cut(path=slot, at=synced)
    assert RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096).load() == [
        b"c1",
        SNAPSHOT_END,
        b"acknowledged",
    ]


def test_a_file_with_a_torn_snapshot_after_a_gap_does_not_count(tmp_path: pathlib.Path) -> None:
    first = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096)
    first.load()
    first.rotate()
    first.append(bodies=[b"c0", SNAPSHOT_END, b"kept"])
    synced = first._position
    first.append(bodies=[b"gone"])
    slot = tmp_path / f"ring-{first._highest_file % 4}"
    second = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096)
    second.load()
    second.rotate()
    second.append(bodies=[b"half of c1"])
    cut(path=slot, at=synced)
    assert RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096).load() == [b"c0", SNAPSHOT_END, b"kept"]


def test_a_refused_write_uses_up_no_numbers(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
    ring = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096)
    ring.load()
    ring.rotate()
    ring.append(bodies=[b"c0", SNAPSHOT_END, b"a"])
    with monkeypatch.context() as patch:

        def refuse(_fd: int, _data: bytes) -> int:
            raise OSError("refused")

        patch.setattr("yarrowloom.storage.filesystem.os.write", refuse)
        with pytest.raises(OSError, match="refused"):
            ring.append(bodies=[b"b"])
    ring.close()
    ring.rotate()
    ring.append(bodies=[b"c1", SNAPSHOT_END, b"b"])
    got = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096).load()
    assert got[-3:] == [b"c1", SNAPSHOT_END, b"b"]


def test_load_syncs_what_it_gives_out(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
    ring = RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096)
    ring.load()
    ring.rotate()
    ring.append(bodies=[b"c0", SNAPSHOT_END])
    ring.close()
    seen: list[str] = []

    def record(handle: int) -> None:
        seen.append(os.readlink(f"/proc/self/fd/{handle}"))

    monkeypatch.setattr("yarrowloom.storage.filesystem.os.fsync", record)
    RingJournal(folder=str(tmp_path), file_count=4, file_bytes=4096).load()
    assert sorted(seen) == sorted([str(tmp_path), *(str(tmp_path / f"ring-{slot}") for slot in range(4))])
