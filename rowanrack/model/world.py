"""One run: a scenario, a seed and settings become a fleet, which lives through its day."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import fields, replace
from functools import partial
from typing import Any

import msgspec

from rowanrack.core.messages import Endpoint
from rowanrack.model.clients import Clients, arrivals, popularity
from rowanrack.model.discovery import Discovery
from rowanrack.model.engine import SECOND_US, Engine, chance
from rowanrack.model.history import Entry, History
from rowanrack.model.network import Network
from rowanrack.model.partner import Figures, Partner, Place, State
from rowanrack.model.rules import Checker
from rowanrack.model.scenario import Event, KindOf, Scenario
from rowanrack.model.sender import Sender, told_by
from rowanrack.model.spread import Spread
from rowanrack.model.worth import service
from rowanspindle import DestinationKind, Effect, EndpointStatus, MessageClass, Settings
from rowanspindle.gossip import PRICED_PACKET_BYTES
from rowanspindle.notes import Note, encode_note

TAIL_US = 3 * SECOND_US  # past the last message's time
RESTART_US = SECOND_US  # for which a sender that died is away, unless the scenario says for how long
STEPS_EACH = 3_000  # for each message: a run that makes more goes round for ever
STEPS_LEAST = 2_000_000
BREACHES_SHOWN = 20


class World:
    """A fleet and its senders."""

    def __init__(self, scenario: Scenario, seed: int, salt: int = 0, changes: Any = None) -> None:
        self.scenario, self.seed = scenario, seed
        steps = int(STEPS_LEAST + STEPS_EACH * scenario.rate * scenario.day_us / SECOND_US)
        self.engine, self.history = Engine(steps), History()
        self.network = Network(scenario.apart_us, scenario.jitter, chance(seed, "network"))
        self.partners: dict[int, Partner] = {}
        self.places: dict[str, Place] = {}
        self.discovery = Discovery(self.engine, self.history, scenario.lag_us, chance(seed, "discovery"))
        self.shares = popularity(scenario, seed)
        rng = chance(seed, "fleet")
        members = [m.name for m in scenario.members] or [""]
        shares = [m.share for m in scenario.members] or [1.0]
        self.listed: dict[int, float] = {}  # calls a second, where the list tells something of its own
        for kind in scenario.kinds:
            for _ in range(kind.partners):
                dest = len(self.partners) + 1
                self.listed[dest] = kind.listed
                member = rng.choices(members, shares)[0]
                self._partner(dest, kind, member)
        self.joining = dict(map(self._to_join, (e for e in scenario.events if e.what == "joins")))
        settings = changed(self._settings(), changes or {})
        own = seed if not salt else chance(seed, "salt", salt).getrandbits(62)
        self.senders = [
            Sender(n, scenario.zones[n % len(scenario.zones)], settings, scenario.tick_us, own, self.engine,
                   self.network, self.history, self.places, self.discovery)
            for n in range(scenario.senders)
        ]  # fmt: skip
        for sender in self.senders:
            sender.tell = partial(self._tell, sender)  # type: ignore[method-assign]
        self._notes_rng, self.notes, self.note_bytes = chance(seed, "notes"), 0, 0
        rates = {dest: self.told_rate(partner) for dest, partner in self.partners.items()}
        owners = {dest: partner.member for dest, partner in self.partners.items()}
        if scenario.recorded:
            from rowanrack.model.recorded import recorded_items  # its format needs what other runs do not

            items = recorded_items(scenario)
        else:
            items = arrivals(self._resolved(), seed, rates, owners, self.shares)
        self.clients = Clients(
            scenario, items, self.senders, self.engine, self.history, chance(seed, "clients"), seed
        )
        self.clients.hot = self._hot_sender
        self.spread = Spread(self)
        for event in scenario.events:
            self.engine.at(event.at_us, lambda event=event: self._begin(event))  # type: ignore[misc]

    def _tell(self, sender: Sender, note: Note) -> None:
        """A note goes to every other sender, each late by its own time or not at all."""
        data, (low, high) = encode_note(note), self.scenario.notes_us
        count = len(self.senders)
        numbers = told_by(sender.number, count, sender.some) if sender.some else range(count)
        for other in map(self.senders.__getitem__, numbers):
            if other is not sender:
                self.notes, self.note_bytes = self.notes + 1, self.note_bytes + len(data)
            late, lost = self._notes_rng.random(), self._notes_rng.random() < self.scenario.notes_lost
            if other is not sender and not lost:
                self.engine.after(low + (high - low) * late, partial(other.hear, sender.number, data))

    def told_rate(self, partner: Partner) -> float:
        """What the list tells of a partner: its limit, or its capacity where there is none."""
        told = self.listed.get(partner.dest, 0.0)
        return told or (partner.figures.rate if partner.figures.limit != "none" else partner.capacity())

    def _partner(self, dest: int, kind: KindOf, member: str) -> None:
        rng = chance(self.seed, "partner", dest)

        def between(pair: tuple[float, float]) -> float:
            return pair[0] + (pair[1] - pair[0]) * rng.random()

        scenario, count = self.scenario, rng.randint(*kind.places)
        full = self.shares[dest] * scenario.rate / scenario.load  # its calls a second at full load
        rate = max(between(kind.rate), full * between(kind.headroom))
        service_us = between(kind.answers_us)
        width = kind.width or max(2, math.ceil(1.4 * max(rate, full) * service_us / SECOND_US / count))
        figures = Figures(
            kind.limit, rate, kind.window_us, kind.told, kind.wait_us, kind.counts_refused, service_us,
            kind.spread, width, kind.queue, kind.connections, kind.handshake_us, kind.cold_share,
            kind.ramp_us, kind.overload, kind.fall_us, kind.runs_on,
        )  # fmt: skip
        partner = Partner(
            dest, kind.name, member, figures, self.engine, self.history, chance(self.seed, "serving", dest)
        )
        self.partners[dest] = partner
        for number in range(count):
            zone = rng.choice(self.scenario.zones)
            place = Place(f"p{dest}-{number + 1}", zone, partner)
            partner.places.append(place)
            self.places[place.name] = place
        told = self.told_rate(partner)
        if kind.rough:
            told *= 1 + kind.rough * (2 * chance(self.seed, "listed", dest).random() - 1)
        told *= not kind.unlisted
        for place in partner.places:
            self.discovery.listed[place.name] = Endpoint(
                place.name, "model", 1, place.zone, kind.name, dest, EndpointStatus.LISTED, told
            )

    def _to_join(self, event: Event) -> tuple[str, Endpoint]:
        """Take a place off the list until it joins. Raises ValueError if there is none."""
        name = f"p{event.number}-{event.other}"
        if name not in self.discovery.listed:
            raise ValueError(f"{event.text()}: there is no such place")
        return name, self.discovery.listed.pop(name)

    def _settings(self) -> Settings:
        """What every sender is told."""
        scenario, first = self.scenario, self.scenario.kinds[0]
        classes = {
            c.name: MessageClass(
                c.name,
                c.aim_us,
                c.deadline_us,
                1.0,
                c.late_worth,
                Effect.SAFE if c.repeatable else Effect.UNSAFE,
            )
            for c in scenario.classes
        }
        return Settings(
            classes=classes,
            slots=scenario.slots,
            most_held=scenario.held,
            tenants={m.name: m.quota for m in scenario.members},
            kinds={kind.name: DestinationKind() for kind in scenario.kinds},
            replicas=scenario.senders,
            peers=scenario.notes_us[1] > 0,
            peer_price=0.01,
            refused_price=scenario.refused_price,
            weights_exact=not any(kind.listed or kind.rough for kind in scenario.kinds),
            try_limit=scenario.tries,
            on_request=True,
            over_share_worth=0.05,
            max_come_back_us=3 * SECOND_US,
            keepalive_us=10 * SECOND_US,
            connect_timeout_us=SECOND_US,
            streams_per_conn=1,
            cold_share=first.cold_share,
            ramp_us=first.ramp_us,
            fall_us=first.fall_us,
            overload_factor=first.overload,
        )

    # What happens when.

    def _dests(self, partners: str) -> list[int]:
        word, _, name = partners.partition(" ")
        match word:
            case "partner":
                return [int(name)]
            case "place":
                return [int(name.split()[2])]
            case "kind":
                return [d for d, p in self.partners.items() if p.kind == name]
            case "zone":
                return [d for d, p in self.partners.items() if any(x.zone == name for x in p.places)]
            case _:
                return list(self.partners)

    def _resolved(self) -> Scenario:
        """The scenario with its hot partners as single ones: what draws for a kind is spread over it."""
        events: list[Event] = []
        for event in self.scenario.events:
            dests = self._dests(event.partners) if event.what == "draws" else []
            if event.what == "draws":
                share = event.size / max(1, len(dests))
                events += [msgspec.structs.replace(event, partners=f"partner {d}", size=share) for d in dests]
            else:
                events.append(event)
        return msgspec.structs.replace(self.scenario, events=tuple(events))

    def _hot_sender(self, now: int) -> tuple[int, float] | None:
        for event in self.scenario.events:
            if (
                event.what == "hot sender"
                and event.at_us <= now
                and (event.for_us is None or now < event.at_us + event.for_us)
            ):
                return event.number - 1, event.size
        return None

    def _begin(self, event: Event) -> None:
        self.history.add(Entry(self.engine.now, "event", note=f"begins: {event.text()}"))
        ends = None if event.for_us is None else self.engine.now + event.for_us
        places = (
            [p for d in self._dests(event.partners) for p in self.partners[d].places]
            if event.partners
            else []
        )
        if event.partners.startswith("zone "):
            places = [p for p in places if p.zone == event.partners[5:]]
        if event.partners.startswith("place "):
            number, _, dest = event.partners.split()[1:]
            places = [p for p in places if p.name == f"p{dest}-{number}"]
        undo = self._do(event, places, ends)
        if ends is not None and undo is not None:

            def end() -> None:
                self.history.add(Entry(self.engine.now, "event", note=f"ends: {event.text()}"))
                undo()

            self.engine.at(ends, end)

    def _do(self, event: Event, places: list[Place], ends: int | None) -> Callable[[], None] | None:
        """Let an event begin; what ends it, if it lasts."""
        match event.what:
            case "strikes":
                for place in places:
                    place.strike(State(event.state))
                    place.partner.opens_at = ends if ends is not None else self.scenario.day_us

                def well() -> None:
                    for place in places:
                        place.recover()

                return well
            case "slows":
                for place in places:
                    place.slow *= event.size

                def quick() -> None:
                    for place in places:
                        place.slow /= event.size

                return quick
            case "allows":
                figures = [p.figures for p in dict.fromkeys(place.partner for place in places)]
                for figure in figures:
                    figure.rate *= event.size

                def whole() -> None:
                    for figure in figures:
                        figure.rate /= event.size

                return whole
            case "sender dies" | "senders die":
                for sender in self.senders[event.number - 1 : event.other or event.number]:
                    if sender.alive:
                        sender.kill()
                        self.engine.after(event.for_us or RESTART_US, sender.start)
            case "discovery down":
                self.discovery.fail()
                return self._discovery_up
            case "drains" | "leaves":
                status = EndpointStatus.DRAINING if event.what == "drains" else EndpointStatus.REMOVED
                self.discovery.set_status(f"p{event.number}-{event.other}", status)
            case "joins":
                self.discovery.change(self.joining.pop(f"p{event.number}-{event.other}"))
        return None

    def _discovery_up(self) -> None:
        self.discovery.down = False

    # The run.

    def run(self, detail: bool = False) -> dict[str, Any]:
        """Live through the day and until every message's time is up; the result as plain values."""
        longest = max(c.deadline_us for c in self.scenario.classes)
        self.engine.run(self.scenario.day_us + longest + TAIL_US)
        for sender in self.senders:
            sender.finish()
        entries = self.history.entries
        once = frozenset(c.name for c in self.scenario.classes if not c.repeatable)
        breaches = Checker(once).read(entries)
        begun = sum(e.what == "begin" for e in entries)
        wasted = sum(
            e.what == "settle" and e.note in ("full", "error", "timeout", "cancelled") for e in entries
        )
        crossings = sum(s.crossings for s in self.senders)
        handshakes = sum(s.handshakes for s in self.senders)
        figures = service(self.clients.items, self.scenario, begun, wasted, crossings, handshakes)
        events = [(e.at, e.note) for e in entries if e.what == "event"]
        result = {
            "scenario": self.scenario.name,
            "seed": self.seed,
            **figures,
            "fell": sum(e.what == "fell" for e in entries),
            "rules": "kept" if not breaches else "broken",
            "breaches": [b._asdict() for b in breaches[:BREACHES_SHOWN]],
            "breaches_in_all": len(breaches),
            "steps": self.engine.steps,
            "history": self.history.digest(),
            "events": events,
        }
        if self.scenario.phases:
            result["spread"] = self.spread.counted()
        if self.notes:
            result["notes"] = self._notes()
        return {**result, "detail": self._detail()} if detail else result

    def _notes(self) -> dict[str, float]:
        """Datagrams and bytes a second for each sender, and points for them at the settings' price."""
        span = len(self.senders) * self.scenario.day_us / SECOND_US
        price = self.senders[0].settings.peer_price / PRICED_PACKET_BYTES / max(1, len(self.clients.items))
        return {
            "datagrams": self.notes / span,
            "bytes": self.note_bytes / span,
            "points": self.note_bytes * price,
        }

    def _detail(self) -> dict[str, Any]:
        """For plots: times to the end, and calls out at the partners with most calls, second by second."""
        times = [i.delivered_us - i.at_us for i in self.clients.items if i.delivered_us is not None]
        begun: dict[int, int] = {}
        for entry in self.history.entries:
            if entry.what == "begin":
                begun[entry.dest] = begun.get(entry.dest, 0) + 1
        busiest = sorted(begun, key=lambda d: (-begun[d], d))[:4]
        seconds = self.scenario.day_us // SECOND_US + 1
        rates = {d: [0] * seconds for d in busiest}
        refused = {d: [0] * seconds for d in busiest}
        for entry in self.history.entries:
            if entry.dest in rates and entry.at // SECOND_US < seconds:
                rates[entry.dest][entry.at // SECOND_US] += entry.what == "begin"
                refused[entry.dest][entry.at // SECOND_US] += entry.what == "settle" and entry.note == "full"
        limits = {d: [self.told_rate(self.partners[d]), self.partners[d].capacity()] for d in busiest}
        by_class = {
            cls.name: [i.delivered_us - i.at_us for i in self.clients.items
                       if i.cls == n and i.delivered_us is not None]
            for n, cls in enumerate(self.scenario.classes)
        }  # fmt: skip
        found = {"times_us": times, "class_times_us": by_class}
        return {**found, "calls": rates, "refused": refused, "limits": limits}


def changed(settings: Settings, changes: dict[str, Any]) -> Settings:
    """The settings with some others. Raises ValueError on one that is not there or cannot be."""
    known = {field.name for field in fields(settings)}
    for name, value in changes.items():
        if name not in known or not isinstance(getattr(settings, name), int | float):
            raise ValueError(f"settings.{name}: there is no such number among the settings")
        if isinstance(getattr(settings, name), int) and not isinstance(value, int):
            raise ValueError(f"settings.{name}: takes a whole number, not {value}")
    return replace(settings, **changes)


def play(
    scenario: Scenario, seed: int, salt: int = 0, changes: Any = None, detail: bool = False
) -> dict[str, Any]:
    """One run: the seed decides all but the senders' own chance, which the salt decides too.

    Raises RunawayError when it does not end, and ValueError on settings that cannot be.
    """
    result = World(scenario, seed, salt, changes).run(detail)
    if not math.isfinite(result["worth"]):
        raise ArithmeticError("the worth is no number")
    return result
