"""What lets a primary serve: the lease of its backups, and contact with a majority of its epoch's witnesses."""

from collections.abc import Iterable
from typing import Any

from ..transport.envelope import Kind
from .environment import ReplicaEnvironment
from .epoch import Epoch
from .quorum_contact import QuorumContact
from .timing import CONTACT_PING_S, CONTACT_WAIT_S, DOUBT_S, PING_S, PROMISE_S

NEVER_S = -9.0  # steady clocks start at 0, so this is before anything


class LeaderLease:
    """Invariants: `until` is at most PROMISE_S after the time at which the question was sent that the backup longest
    silent has answered; a primary without `contact` stays one, asks on, and serves again once it is back.
    """

    def __init__(self, *, environment: ReplicaEnvironment, group_id: int) -> None:
        self.until = 0.0
        self.contact = QuorumContact()
        self._environment = environment
        self._group = group_id
        self._answers: dict[str, float] = {}  # by backup: when the last question that it answered was sent
        self._pinged = 0.0
        self._probed = 0.0
        self._apart: float | None = None  # since when contact is lost
        self._elsewhere: float | None = None  # since when a backup tells that it has contact

    def valid(self) -> bool:
        """A primary may serve now."""
        return self._environment.now < self.until and self._environment.now < self.contact.until

    def in_contact(self) -> bool:
        """Contact with the witnesses was there when it was last looked at."""
        return self._apart is None

    def start(self, *, epoch: Epoch, answers: dict[str, float]) -> None:
        """An epoch is installed; `answers`: by member, when the INSTALL was sent that it answered."""
        self._answers = {backup: answers[backup] for backup in epoch.backups}
        self.until = min(self._answers.values(), default=self._environment.now) + PROMISE_S
        self._apart = None
        self.contact.begin(epoch=epoch, node_id=self._environment.node_id)
        for node_id, sent in answers.items():
            self.contact.heard(node_id=node_id, sent=sent)

    def end(self) -> None:
        """Serve no more."""
        self.until = 0.0

    def answered(self, *, epoch: Epoch, node_id: str, sent: float) -> None:
        """A backup answered what was sent at `sent`: it will not take over for a while from then."""
        self._answers[node_id] = max(self._answers.get(node_id, NEVER_S), sent)
        oldest = min(self._answers.get(backup, NEVER_S) for backup in epoch.backups)
        self.until = max(self.until, oldest + PROMISE_S)

    def silent(self, *, epoch: Epoch, awake: float, patience: float = DOUBT_S) -> list[str]:
        """Backups that have not answered for longer than `patience`; this process last stood still at `awake`."""
        return [
            u for u in epoch.backups if self._environment.now > max(self._answers.get(u, NEVER_S), awake) + patience
        ]

    def watch(self) -> None:
        """Note when contact is lost and when it is back."""
        now = self._environment.now
        lost = now >= self.contact.until
        if lost and self._apart is None:
            self._apart = now
            self._environment.note(event="contact-lost", group=self._group)
        elif not lost and self._apart is not None:
            self._environment.note(event="contact-back", group=self._group, s=round(now - self._apart, 2))
            self._apart = None

    def ask(self, *, epoch: Epoch) -> None:
        """Ask the backups for their lease and the other witnesses, less often, for contact."""
        now = self._environment.now
        if not epoch.backups:
            self.until = now + PROMISE_S
        question: dict[str, Any] = {"g": self._group, "n": epoch.number, "t": now}
        if self._apart is not None:
            question["apart"] = True
        if now - self._pinged >= PING_S:
            self._pinged = now
            for node_id in epoch.backups:
                self._environment.send(node_id=node_id, kind=Kind.LEADER_LEASE_REQUEST, body=question)
        self._probe(question=question, witnesses=[u for u in epoch.witnesses if u not in epoch.backups])

    def _probe(self, *, question: dict[str, Any], witnesses: Iterable[str]) -> None:
        if self._environment.now - self._probed >= CONTACT_PING_S:
            self._probed = self._environment.now
            for node_id in witnesses:
                if node_id != self._environment.node_id:
                    self._environment.send(node_id=node_id, kind=Kind.LEADER_LEASE_REQUEST, body=question)

    def answer(
        self, *, epoch: Epoch | None, asker: str, question: dict[str, Any], renews: bool
    ) -> dict[str, Any] | None:
        """What to answer a holder of the epoch; None: nothing. `renews`: this member is a backup and stays one for a
        while, which is what its answer means. A witness answers also if it has promised a ballot: whoever may campaign
        has ended the lease before. To a primary that lost contact a backup tells whether it has it, and looks.
        """
        if epoch is None or epoch.number != question["n"]:
            return None
        if self._environment.node_id not in epoch.backups:
            return question if self._environment.node_id in epoch.witnesses else None
        if not renews:
            return None
        if asker != epoch.primary or not question.get("apart"):
            return question
        self.contact.begin(epoch=epoch, node_id=self._environment.node_id)
        own = {"g": self._group, "n": epoch.number, "t": self._environment.now}
        self._probe(question=own, witnesses=epoch.witnesses)
        return {**question, "contact": self._environment.now < self.contact.until}

    def better_off(self, *, answer: dict[str, Any]) -> bool:
        """Contact is lost here, and a backup has told for a while that it has it: after a cut that heals, this member
        has it back by then.
        """
        now = self._environment.now
        if self._apart is None or not answer.get("contact"):
            self._elsewhere = None
            return False
        if self._elsewhere is None:
            self._elsewhere = now
        return now - self._elsewhere >= CONTACT_WAIT_S
