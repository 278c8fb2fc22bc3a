"""What core and edge nodes share: outputs as data, news, the roster of nodes, ring watchers, hearts."""

from collections.abc import Sequence
from typing import Any

import orjson

from ..cluster_state.config_delta import ConfigDelta, ConfigHistory
from ..cluster_state.routing_table import Route, RoutingTable
from ..common.log import Log
from ..common.records import decode
from ..common.settings import NodeSettings
from ..replication.epoch import Epoch, addr_of
from ..transport.envelope import Kind, dump
from ..transport.http_server import Response
from ..transport.message import Message
from .config_freshness import Freshness
from .group_calls import Calls, first_number
from .outputs import Outbox, Sent, ring

JOB_GROUPS = 1
HEART_S = 0.25
ALIVE_S = 1.2
WATCHERS = 4
RESEND_S = 0.5  # news that a heart does not confirm within this time, and twice its own on the link, goes again
ASK_S = 1.5  # a watcher that was asked for the whole configuration and has not sent it by then is passed over
PROBES = 2  # core nodes asked besides the usual ones, in turn, while no answer proves contact with a primary
GAP_S = 0.1  # hearts of a node that lacks news which others have are this far apart


class NodeBase:
    """Invariants: `now` is the steady clock and rises; `table` never goes back to an older stamp; an epoch known
    is never replaced by one with a lower number; `table` is that of the newest document in `past`; `have` is what
    nodes said in their last hearts, `sent` what left for them since. `incarnation` numbers this life: with `uid` it
    tells the life from all others; nothing but its equality means anything outside `wire`.
    """

    def __init__(self, *, settings: NodeSettings, node_id: str, incarnation: int, kind: str, log: Log) -> None:
        self.settings = settings
        self.node_id = node_id
        self.incarnation = incarnation
        self.kind = kind
        self.log = log
        self.now = 0.0
        self.wall_now = 0.0
        self.out = Outbox()
        self.config: dict[str, Any] | None = None
        self.table: RoutingTable | None = None
        self.past = ConfigHistory()
        self.torn = False  # a change did not give what it should: the whole is wanted
        self.registry_version = -1
        self.evacuated_zones: set[str] = set()
        self.members: dict[str, dict[str, Any]] = {}
        self.epochs: dict[int, Epoch] = {}
        self.heard: dict[str, float] = {}
        self.info: dict[str, dict[str, Any]] = {}
        self.have: dict[str, dict[str, Any]] = {}
        self.sent: dict[str, Sent] = {}
        self.spoke: dict[str, float] = {}  # by address: when it last answered a heart
        self.missed: set[str] = set()  # addresses whose news got lost since the last hearts
        self.asked = ""  # the watcher that is to send the whole configuration if need be
        self.behind = -1.0  # since when others tell of a newer configuration; below 0: they do not
        self.hearted = -9.0
        self.contact = -9.0  # when any node last answered a heart, in touch or not
        self.proved: dict[str, float] = {}  # when an answer to a call last carried the proof, by node
        self.freshness = Freshness(apply_ms=settings.config_apply_ms)
        self.calls = Calls(environment=self, base=first_number(incarnation=incarnation))

    # -- outputs

    def send(self, *, node_id: str, kind: Kind, body: dict[str, Any]) -> None:
        """To another node, or to itself."""
        self.out.sends.append((addr_of(node_id=node_id), kind, dump(body=body)))

    def send_message(self, *, node_id: str, message: Message) -> None:
        """Send a typed message to another node, or to itself."""
        self.out.sends.append((addr_of(node_id=node_id), message.KIND, message.encoded()))

    def respond(self, *, call: Any, response: Response) -> None:
        """Answer an HTTP call."""
        self.out.answers.append((call, response))

    def note(self, *, event: str, **fields: object) -> None:
        """Log an event."""
        self.log.info(event, **fields)

    def trace(self, *, event: str, **fields: object) -> None:
        """Log detail."""
        self.log.debug(event, **fields)

    # -- epochs and news

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        """Who serves a group, as far as known."""
        e = self.epochs.get(group_id)
        return (e.primary, e.number) if e is not None else None

    def learn(self, *, epochs: Sequence[tuple[int, Epoch]]) -> None:
        """Take note of epochs: (group, epoch)."""
        for group_id, e in epochs:
            if group_id not in self.epochs or self.epochs[group_id].number < e.number:
                self.epochs[group_id] = e

    def mine(self) -> dict[str, Any]:
        """What this node has of the news."""
        return {
            "conf": self.table.config_version if self.table and not self.torn else 0,
            "mods": self.registry_version,
            "ep": {str(group_id): e.number for group_id, e in self.epochs.items()},
        }

    def newer(self, *, node_id: str) -> dict[str, Any]:
        """News that a node lacks by its last heart and that are not on their way to it: of the configuration the
        change, or the whole to who asks for it and has nothing that the change could be made to.
        """
        have, way = self.have[node_id], self.sent.setdefault(node_id, Sent())
        out: dict[str, Any] = {}
        if (
            self.table is not None
            and have["conf"] < self.table.config_version
            and (way.config < self.table.config_version or self.now >= way.conf_till)
        ):
            delta = self.past.delta_since(config_version=have["conf"])
            size = 0
            if delta is not None:
                out["delta"] = delta.document()
            elif have.get("whole", True):
                out["conf"], size = self.config, self.past.newest_bytes
            if out:
                way.config = self.table.config_version
                way.conf_till = (
                    self.now + RESEND_S + 2 * size * 8e-6 / min(self.settings.link_mbps, have.get("mbps", 1000.0))
                )
        due = self.now >= way.till
        if self.registry_version > have["mods"] and (due or way.registry_version < self.registry_version):
            out["reg"] = {"mods": self.registry_version, "evac": sorted(self.evacuated_zones), "members": self.members}
            way.registry_version, way.till = self.registry_version, self.now + RESEND_S
        epochs = {
            group_id: e
            for group_id, e in self.epochs.items()
            if have["ep"].get(str(group_id), -1) < e.number and (due or way.epochs.get(group_id, -1) < e.number)
        }
        if epochs:
            out["eps"] = [[group_id, e] for group_id, e in epochs.items()]
            way.epochs.update({group_id: e.number for group_id, e in epochs.items()})
            way.till = self.now + RESEND_S
        return out

    def take_news(self, *, document: dict[str, Any], push: bool = True) -> None:
        """Take what is newer, pass it on down the tree. `doc` holds any of `conf` (whole), `delta`, `reg`, `eps`."""
        fresh = False
        config = document.get("conf")
        if config is not None and (self.table is None or config["config-version"] > self.table.config_version):
            self._configure(document=config)
            fresh = True
        if "delta" in document:
            fresh = self._change(delta=decode(document["delta"], into=ConfigDelta)) or fresh
        registry = document.get("reg")
        if registry is not None and registry["mods"] > self.registry_version:
            self.registry_version, self.evacuated_zones, self.members = (
                registry["mods"],
                set(registry["evac"]),
                dict(registry["members"]),
            )
            fresh = True
        if document.get("eps"):
            before = {group_id: e.number for group_id, e in self.epochs.items()}
            self.learn(epochs=decode(document["eps"], into=list[tuple[int, Epoch]]))
            fresh = fresh or before != {group_id: e.number for group_id, e in self.epochs.items()}
        if fresh and push:
            self.push()

    def _configure(self, *, document: dict[str, Any]) -> None:
        self.config = self.past.add(document=document)
        self.table, self.torn, self.behind = RoutingTable(document=self.config), False, -1.0
        self.note(event="config-applied", config_version=self.table.config_version, routes=len(self.table.routes))
        self.configured()

    def _change(self, *, delta: ConfigDelta) -> bool:
        if self.table is None or self.torn or delta.new_version <= self.table.config_version:
            return False
        document = self.past.apply_delta(delta=delta)
        if document is None:
            self.torn, self.hearted = True, -9.0
            self.log.warn(
                "config-change-unfit",
                base=delta.base_version,
                to=delta.new_version,
                config_version=self.table.config_version,
            )
            return False
        self._configure(document=document)
        return True

    def push(self) -> None:
        """Send news to the nodes whose hearts this one watches."""
        for node_id, at in self.heard.items():
            if self.now - at < ALIVE_S:
                document = self.newer(node_id=node_id)
                if document:
                    self.send(node_id=node_id, kind=Kind.CLUSTER_UPDATE, body=document)

    def configured(self) -> None:
        """A newer configuration is in force here."""

    def called(self, *, done: tuple[Any, ...], status: int, document: Any, sent: bool) -> None:
        """A call of this node has ended."""
        raise NotImplementedError

    def route(self, *, name: str) -> Route | None:
        """A route by name."""
        return self.table.routes.get(name) if self.table is not None else None

    def config_version(self) -> int:
        """The version of the configuration in force here; 0: none yet."""
        return self.table.config_version if self.table is not None else 0

    def select(self, *, host: str, path: str) -> str:
        """The queue that a path belongs to by the configuration in force here; empty: none."""
        route = self.table.select(host=host, path=path) if self.table is not None else None
        return route.name if route is not None else ""

    def proof_age_ms(self) -> int | None:
        """How old the proof of contact with group 0's primary is; None: there was none yet."""
        fields = self.proof()
        return round(fields["age"] * 1000) if fields else None

    # -- hearts

    def seeds(self) -> list[str]:
        """Uids good enough to reach the seeds: only the address counts."""
        port = self.settings.ports[0]
        return [f"{s.rsplit(':', 1)[0]}:{port}#?" for s in self.settings.seeds]

    def cores(self) -> list[str]:
        """All core nodes known."""
        return sorted(
            set(self.members)
            | {
                u
                for u, i in self.info.items()
                if i.get("kind") == "core" and self.now - self.heard.get(u, -9.0) < ALIVE_S
            }
        )

    def alive(self, *, node_id: str) -> bool:
        """Heard of lately."""
        return node_id == self.node_id or self.now - self.heard.get(node_id, -9.0) < ALIVE_S

    def targets(self) -> list[str]:
        """Who gets this node's hearts: its watchers on the ring, group 0's primary; seeds and all that epochs name
        while nobody answers or no members are known (the address of a primary may answer that lost its disk); some
        of these in turn while those that answer can't prove contact with a primary.
        """
        out = ring(node_id=self.node_id, among=list(self.members), n=WATCHERS if self.kind == "core" else 2)
        prim = self.primary(group_id=0)
        if self.kind == "core" and prim is not None and prim[0] != self.node_id:
            out.append(prim[0])
        if self.now - self.contact > 1.0 or not self.members:
            out += self._others(known=out)
        else:
            out += self.probes(known=out)
        return list(dict.fromkeys(out))

    def _others(self, *, known: list[str]) -> list[str]:
        """Whoever else may know of the primary: seeds, members, all that epochs name."""
        addresses = {addr_of(node_id=u) for u in known} | {addr_of(node_id=self.node_id)}
        out = [s for s in self.seeds() if addr_of(node_id=s) not in addresses]
        out += [u for u in self.members if u != self.node_id]
        return out + [
            u for e in self.epochs.values() for u in (*e.witnesses, e.primary, *e.backups) if u and u != self.node_id
        ]

    def probes(self, *, known: list[str]) -> list[str]:
        """A few of the others, in turn, while the proof is old: a change of primary ages all proofs at once, and must
        not have every node ask every other.
        """
        if self.freshness.age(now=self.now) < self.freshness.probe_s:
            return []
        rest = [u for u in dict.fromkeys(self._others(known=known)) if u not in known]
        first = int(self.now / HEART_S) * PROBES
        return [rest[(first + i) % len(rest)] for i in range(min(PROBES, len(rest)))]

    # -- contact with the primary

    def proof(self) -> dict[str, Any]:
        """What an answer tells of how new the configuration here is; nothing while it is known to be torn."""
        fields = {} if self.torn else self.freshness.told(now=self.now)
        return {**fields, "conf": self.mine()["conf"]} if fields else {}

    def proofs(self, *, node_id: str) -> dict[str, Any]:
        """The same for an answer to a node's call: a few times a second is enough."""
        if self.now - self.proved.get(node_id, -9.0) <= HEART_S:
            return {}
        if len(self.proved) > 4096:
            self.proved.clear()
        self.proved[node_id] = self.now
        return self.proof()

    def confirm(self, *, sent: float, m: dict[str, Any]) -> bool:
        """Take the proof that an answer carries to what was sent at `sent`, unless it tells of a newer configuration
        than is here; whether its sender is in touch. Word of an epoch that is over proves nothing.
        """
        age, epoch = m.get("age"), m.get("by")
        if not isinstance(age, (int, float)) or not isinstance(epoch, int) or age < 0 or sent > self.now:
            return False
        newest = self.epochs.get(0)
        if newest is not None and epoch < newest.number:
            return False
        if m.get("conf", 0) <= self.mine()["conf"]:
            self.freshness.prove(at=sent - age, epoch=epoch)
        return age < self.freshness.probe_s

    def heart(self) -> dict[str, Any]:
        """A heart's body."""
        return {
            "u": self.node_id,
            "site": self.settings.zone,
            "kind": self.kind,
            "name": self.settings.name,
            "ctl": self.settings.binds.get("control", ""),
            "incarnation": self.incarnation,
            "t": self.now,
            "have": {**self.mine(), "mbps": self.settings.link_mbps},
        }

    def beat_hearts(self) -> None:
        """Send hearts when due. One watcher at a time is asked for the whole configuration, should it be needed;
        a watcher is told if news of its got lost.
        """
        hasty = self.missed if self.behind < 0 else self.now - self.behind < ASK_S
        if self.now - self.hearted < (GAP_S if hasty else HEART_S):
            return
        self.hearted = self.now
        body = self.heart()
        to = self.targets()
        known = [u for u in to if self.now - self.spoke.get(addr_of(node_id=u), -9.0) < ASK_S] or to
        late = self.behind >= 0 and self.now - self.behind > ASK_S
        if known and (self.asked not in known or late):
            self.asked = known[(known.index(self.asked) + 1) % len(known) if self.asked in known else 0]
            self.behind = self.now if late else self.behind
        for node_id in to:
            more = {"whole": node_id == self.asked, "lost": addr_of(node_id=node_id) in self.missed}
            self.send(node_id=node_id, kind=Kind.HEARTBEAT, body={**body, "have": {**body["have"], **more}})
        self.missed.clear()

    def told(self, *, node_id: str, m: dict[str, Any]) -> bool:
        """A watcher answered a heart and tells of its versions; its news came before on the same way, or got lost:
        the next heart says so, and soon. Whether it is in touch: only such a one is asked for a whole
        configuration.
        """
        in_touch = self.confirm(sent=m["t"], m=m)
        if in_touch:
            self.spoke[addr_of(node_id=node_id)] = self.now
        mine = self.mine()
        late = m.get("conf", 0) > mine["conf"]
        if late and self.behind < 0:
            self.behind = self.now
        if late or m.get("mods", -1) > mine["mods"]:
            self.missed.add(addr_of(node_id=node_id))
        return in_touch

    def lost_from(self, *, node_id: str) -> None:
        """Frames of another node got lost, perhaps news: the next heart tells it."""
        self.missed.add(addr_of(node_id=node_id))

    def answer(self, *, b: dict[str, Any]) -> dict[str, Any]:
        """What a heart is answered at least: its time, the versions held here, how new they are, news."""
        mine = self.mine()
        news = self.newer(node_id=b["u"])
        return {
            "t": b["t"],
            "conf": mine["conf"],
            "mods": mine["mods"],
            **self.proof(),
            **({"news": news} if news else {}),
        }

    def hear(self, *, b: dict[str, Any]) -> None:
        """Another node's heart."""
        node_id, have = b["u"], b["have"]
        was = self.have.get(node_id)
        if was is not None and (
            have.get("lost")
            or have["conf"] < was["conf"]
            or have["mods"] < was["mods"]
            or self.info[node_id]["incarnation"] != b["incarnation"]
        ):
            self.sent.pop(node_id, None)  # what was on its way is lost, or was refused
        self.heard[node_id] = self.now
        self.info[node_id] = {k: b[k] for k in ("site", "kind", "name", "ctl", "incarnation")}
        self.have[node_id] = have
        if len(self.heard) > 4096:
            for old in [u for u, at in self.heard.items() if self.now - at > 60]:
                for table in (self.heard, self.info, self.have, self.sent):
                    table.pop(old, None)

    def load(self, *, body: bytes) -> Any:
        """Decode a body."""
        return orjson.loads(body)
