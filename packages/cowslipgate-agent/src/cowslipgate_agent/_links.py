"""Links to the entries: discovery, heartbeats and outcomes."""

import datetime
import itertools

import attrs
import circuits
from circuits.core import pollers
import msgspec
import zmq

from cowslipgate_agent import _evacuation
from cowslipgate_agent import _events
from cowslipgate_agent import _settings
import cowslipgate_core as core
import cowslipgate_transport as transport

CHANNEL = "links"
DISCOVERY_INTERVAL = datetime.timedelta(seconds=1)
RECONNECT_GRACE = datetime.timedelta(milliseconds=500)
"""Time to reconnect before the entry counts as lost. The connection to a
killed entry is reset, and its callers retry at another entry `resend_ms`
(1,300 ms) later, when none of their tasks may run any more."""


RELINK_AFTER = datetime.timedelta(milliseconds=500)
"""Time after an entry has left until its address is tried again. Lists name it
for up to 5 s, but a new process may soon answer there."""

LONGEST_SILENCE = 0.8
"""Share of ``link_expires_after`` that an idle link may be silent; the rest
is for ticks and transit."""

UNCONFIRMED_HEARTBEATS = 1.2
"""Age of an entry's last confirmation, or of a sign that an attempt rests on,
in heartbeats, after which a link with work needs a report though orders and
outcomes go both ways."""

REPEATED_REPORTS = 0.2
"""Interval of reports, in heartbeats, while a newer one is outstanding: on a
slow path each one is confirmed late."""

FRESH_SHARE = 2 / 3
"""Age of the sign that an order rests on, as a share of ``entry_lost_after``,
up to which it starts at once. The order may have been delayed; the rest is for
the next confirmation."""

MILLISECOND = datetime.timedelta(milliseconds=1)


@attrs.define(eq=False)
class HeldDispatch:
    """Orders that wait for a newer sign of their entry or callers."""

    dispatch: core.Dispatch
    """The orders."""

    held_at: datetime.datetime
    """When they arrived."""

    @property
    def attempts(self) -> tuple[int, ...]:
        """Numbers of the attempts."""
        return tuple(order.attempt for order in self.dispatch.orders)


@attrs.define(eq=False)
class Link:
    """The connection to one entry."""

    member: core.Member
    """The entry."""

    socket: transport.MessageSocket
    """Component that owns the socket."""

    received_at: datetime.datetime
    """When the last message of the entry arrived."""

    confirmed_at: datetime.datetime
    """When the newest report or outcome was sent that the entry has received;
    the entry was alive then. A message that arrives shows less, as it may have
    been delayed."""

    interval: datetime.timedelta
    """Interval of reports while the link carries no work."""

    reported_at: datetime.datetime
    """When the last report was sent."""

    sent_at: datetime.datetime
    """When the last report or outcome was sent."""

    opened_at: datetime.datetime
    """When the current socket was opened."""

    disconnected_at: datetime.datetime | None = None
    """When the connection broke, or None while it is connected."""

    lost: bool = False
    """Whether the entry counts as lost; its next message clears this."""

    unchosen_at: datetime.datetime | None = None
    """When the entry left the agent's subset, or None while it is in it."""

    departure: int = 0
    """Number of the departure in progress, or zero."""

    released: bool = False
    """Whether the entry has confirmed the departure."""

    confirms: bool = False
    """Whether the entry tells which messages it has received; those of earlier
    versions don't, and count as alive whenever one of their heartbeats or
    orders arrives."""

    held: list[HeldDispatch] = attrs.Factory(list)
    """Orders that wait for a newer sign."""

    def cancel_departure(self) -> None:
        """Record that the entry is in the subset, which ends a departure."""
        self.unchosen_at = None
        self.departure = 0
        self.released = False


class Links(circuits.BaseComponent):
    """Links to the entries of the agent's subset, one socket each.

    :param runs_known: whether every run at the target is known; until then no
        entry is discovered
    :param pause_limits: how long entries are asked after a pause of this
        process before they count as lost; None to ask none
    :param evacuation: tells entries the evacuated domains before reports;
        None if evacuations are not enabled
    """

    channel = CHANNEL

    def __init__(
        self,
        settings: _settings.AgentSettings,
        executor: core.Executor,
        incarnation: int,
        clock: core.Clock,
        poller: pollers.BasePoller,
        runs_known: bool = True,
        pause_limits: core.PauseLimits | None = None,
        evacuation: _evacuation.Evacuation | None = None,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._runs_known = runs_known
        self._evacuation = evacuation
        self._executor = executor
        self._incarnation = incarnation
        self._clock = clock
        self._poller = poller
        self._context = zmq.Context.instance()
        self._set_members(())
        self._links: dict[int, Link] = {}
        # When entries have left, by incarnation.
        self._left: dict[int, datetime.datetime] = {}
        self._pauses = core.Pauses(limits=pause_limits)
        self._asks_after_pauses = pause_limits is not None
        self._numbers = itertools.count(1)
        self._next_discovery = clock.now()
        # Times of sending count from here, so that they are short numbers.
        self._started_at = clock.now() - MILLISECOND

    @property
    def sockets(self) -> list[transport.MessageSocket]:
        """Sockets of the links, for measurements."""
        return [link.socket for link in self._links.values()]

    def get_link(self, entry: int) -> Link | None:
        """Return the link to an entry, or None."""
        return self._links.get(entry)

    @circuits.handler("tick")
    def _on_tick(self) -> None:
        now = self._clock.now()
        paused = self._pauses.measure(now) is not None
        if paused and self._asks_after_pauses:
            self._ask_busy_entries()
        self._check_lost_entries(now)
        self._leave_unchosen(now)
        self._retry_left(now)
        all_lost = all(link.lost for link in self._links.values())
        if all_lost and self._runs_known and now >= self._next_discovery:
            self._next_discovery = now + DISCOVERY_INTERVAL
            self.fire(_events.discover_entries(), "discovery")
        for incarnation, link in self._links.items():
            if self._is_report_due(incarnation, link, now):
                self._send_report(incarnation, link)

    @circuits.handler("target_runs_known")
    def _on_target_runs_known(self) -> None:
        # An entry that receives a report of a new incarnation of the agent
        # assumes that every run of earlier incarnations has ended.
        self._runs_known = True

    @circuits.handler("send_reports")
    def _on_send_reports(self) -> None:
        self._send_all_reports()

    @circuits.handler("report_attempts")
    def _on_report_attempts(self, action: core.SendReports) -> None:
        link = self._links.get(action.entry)
        if link is None:
            return
        link.sent_at = self._clock.now()
        for reports in core.split_reports(action.reports):
            results = core.Results(
                self._settings.name,
                self._incarnation,
                self._executor.measure_load(action.entry),
                reports,
                action.entry,
                self._executor.configuration_version,
                self._measure_sent_ms(),
            )
            event = transport.send_message(b"", results)
            self.fire(event, link.socket.channel)

    @circuits.handler("send_to_entry")
    def _on_send_to_entry(self, entry: int, message: object) -> None:
        link = self._links.get(entry)
        if link is not None:
            event = transport.send_message(b"", message)
            self.fire(event, link.socket.channel)

    @circuits.handler("peer_connected", channel="*")
    def _on_peer_connected(self, peer: bytes) -> None:
        link = self._links.get(int(peer))
        if link is None:
            return
        link.disconnected_at = None
        self._executor.connect(int(peer))
        self._send_report(int(peer), link)

    @circuits.handler("peer_disconnected", channel="*")
    def _on_peer_disconnected(self, peer: bytes) -> None:
        link = self._links.get(int(peer))
        if link is None:
            return
        now = self._clock.now()
        if link.disconnected_at is None:
            link.disconnected_at = now
            self.fire(_events.entry_disconnected(int(peer)))
        stops = self._executor.lose_connection(int(peer), now)
        if stops:
            self.fire(_events.perform_actions(stops), "runner")

    @circuits.handler("message_received", channel="*")
    def _on_message_received(self, peer: bytes, message: object) -> None:
        link = self._links.get(int(peer))
        if link is None:
            return
        sender = getattr(message, "entry", 0)
        if sender > int(peer) and isinstance(message, core.EvacuationNotice):
            # Its heartbeat follows and names the incarnation to link. Without
            # it, the next outdated list would open this link again at once.
            self.fire(_events.entry_message_received(message), "runner")
        elif sender > int(peer):
            # A newer incarnation answers at the address of the entry.
            self._drop(int(peer))
        elif sender == int(peer):
            self._renew_expired_link(sender, link)
            link.received_at = self._clock.now()
            if isinstance(message, core.Dispatch):
                attempts = (order.attempt for order in message.orders)
                self._executor.expect(sender, attempts)
                # Orders may be withdrawn while they wait for a newer sign.
                stops = self._executor.supersede_runs(sender, message.orders)
                if stops:
                    self.fire(_events.perform_actions(stops), "runner")
            self._record_confirmation(sender, link, message)
            if isinstance(message, core.Withdraw):
                self._record_withdrawal(sender, link, message)
            self._pass_on(sender, link, message)
            if isinstance(message, core.Beat):
                self._update_interval(message, link)
            elif isinstance(message, core.Release):
                link.released = message.number == link.departure
        if sender >= int(peer) and isinstance(message, core.Beat):
            self._handle_beat(message)

    @circuits.handler("members_found")
    def _on_members_found(self, members: tuple[core.Member, ...]) -> None:
        self._update_members(members)

    def _renew_expired_link(self, incarnation: int, link: Link) -> None:
        # The entry may count the attempts in delayed messages as lost. A new
        # link number makes the executor refuse them.
        elapsed = self._clock.now() - link.received_at
        if elapsed > self._settings.link_expires_after:
            self._renew(incarnation, link)

    def _renew(self, incarnation: int, link: Link) -> None:
        self._executor.connect(incarnation)
        self._send_report(incarnation, link)

    def _record_confirmation(
        self, incarnation: int, link: Link, message: object
    ) -> None:
        now = link.received_at
        confirmed_at = link.confirmed_at
        lived_at = None
        received_ms = getattr(message, "received_ms", None)
        if received_ms:
            link.confirms = True
            confirmed_at = self._started_at + received_ms * MILLISECOND
            held_ms = getattr(message, "held_ms", 0)
            lived_at = min(confirmed_at + held_ms * MILLISECOND, now)
            late = now - confirmed_at > self._settings.link_expires_after
            if late and isinstance(message, core.Dispatch):
                self._renew(incarnation, link)
        elif received_ms is not None and not link.confirms:
            confirmed_at = now
        link.confirmed_at = max(link.confirmed_at, min(confirmed_at, now))
        if now - link.confirmed_at <= self._settings.entry_lost_after:
            link.lost = False
        self._executor.confirm(
            incarnation,
            link.confirmed_at,
            lived_at,
            getattr(message, "ages", None),
        )

    def _record_withdrawal(
        self, incarnation: int, link: Link, message: core.Withdraw
    ) -> None:
        if message.incarnation != self._incarnation:
            return
        # Messages that follow may be read before the event is handled.
        if message.stop:
            self._executor.give_up(incarnation, message.attempts)
        withdrawn = frozenset(message.attempts)
        for each in link.held:
            orders = each.dispatch.orders
            each.dispatch = attrs.evolve(
                each.dispatch,
                orders=tuple(o for o in orders if o.attempt not in withdrawn),
            )

    def _pass_on(self, incarnation: int, link: Link, message: object) -> None:
        self._release(
            link,
            [e for e in link.held if self._is_ready(incarnation, link, e)],
        )
        if isinstance(message, core.Dispatch):
            arrived = HeldDispatch(message, link.received_at)
            if not self._is_ready(incarnation, link, arrived):
                if not link.held:
                    self._send_report(incarnation, link)
                link.held.append(arrived)
                self.fire(_events.orders_held(message))
                return
        self.fire(_events.entry_message_received(message), "runner")

    def _release(self, link: Link, released: list[HeldDispatch]) -> None:
        for each in released:
            link.held.remove(each)
            self.fire(_events.entry_message_received(each.dispatch), "runner")

    def _is_ready(
        self, incarnation: int, link: Link, held: HeldDispatch
    ) -> bool:
        dated_at = link.confirmed_at
        sign = self._executor.get_sign(incarnation, held.attempts)
        if sign is not None:
            if not self._executor.outlives_lease(sign):
                return False
            dated_at = min(dated_at, sign)
        age = link.received_at - dated_at
        limit = self._settings.entry_lost_after
        if age <= limit * FRESH_SHARE:
            return True
        # On a slow path no sign is that fresh. A confirmation of the report
        # that was sent for the orders shows that they were wanted after they
        # came.
        confirmed = link.confirmed_at > held.held_at - MILLISECOND
        return confirmed and age <= limit

    def _handle_beat(self, beat: core.Beat) -> None:
        if beat.leaving:
            self._left[beat.entry] = self._clock.now()
        if beat.members:
            self._update_members(beat.members)
        if beat.leaving:
            self._drop(beat.entry)

    def _retry_left(self, now: datetime.datetime) -> None:
        recent = {
            incarnation: left_at
            for incarnation, left_at in self._left.items()
            if now - left_at < RELINK_AFTER
        }
        if len(recent) == len(self._left):
            return
        self._left = recent
        if self._members:
            self._update_members(self._members)

    def _update_interval(self, beat: core.Beat, link: Link) -> None:
        asked = datetime.timedelta(milliseconds=beat.heartbeat_ms)
        # A longer silence would renew the link at each heartbeat.
        longest = self._settings.link_expires_after * LONGEST_SILENCE
        link.interval = max(min(asked, longest), self._settings.heartbeat)

    def _is_report_due(
        self, incarnation: int, link: Link, now: datetime.datetime
    ) -> bool:
        since = now - link.reported_at
        if since >= link.interval:
            return True
        heartbeat = self._settings.heartbeat
        busy = bool(link.held or self._executor.count_own(incarnation))
        if busy and since >= heartbeat * REPEATED_REPORTS:
            sign = self._executor.get_needed_sign(incarnation)
            dated_at = min(link.confirmed_at, sign or link.confirmed_at)
            if now - dated_at >= heartbeat * UNCONFIRMED_HEARTBEATS:
                return True
        if since < heartbeat:
            return False
        if link.departure:
            return True
        if not busy:
            return False
        # Both sides detect a lost link sooner while it carries work. Orders
        # and outcomes show as well that it stands; an order confirms outcomes
        # sent before it.
        exchanged_at = min(link.sent_at, link.received_at)
        return now - exchanged_at >= heartbeat

    def _check_lost_entries(self, now: datetime.datetime) -> None:
        silent = [
            (incarnation, link)
            for incarnation, link in self._links.items()
            if self._is_reconnect_overdue(link, now)
            or self._is_silent(incarnation, link, now)
        ]
        if not silent:
            return
        members = {member.incarnation for member in self._members}
        for incarnation, link in silent:
            if incarnation not in members:
                self._drop(incarnation)
                continue
            link.held.clear()
            if not link.lost:
                link.lost = True
                self._executor.give_up(incarnation)
                self.fire(_events.entry_dropped(incarnation), "runner")
            self._reconnect(link)

    def _is_silent(
        self, incarnation: int, link: Link, now: datetime.datetime
    ) -> bool:
        limit = self._settings.entry_lost_after
        heard_at = max(link.confirmed_at, link.opened_at)
        silence = now - heard_at
        if silence <= limit:
            return False
        if self._pauses.awaits_confirmation(heard_at, heard_at, limit, now):
            return False
        if not self._executor.count_own(incarnation):
            limit = core.compute_lost_timeout(limit, link.interval)
        return silence > limit

    def _is_reconnect_overdue(
        self, link: Link, now: datetime.datetime
    ) -> bool:
        disconnected_at = link.disconnected_at
        return (
            disconnected_at is not None
            and now - disconnected_at > RECONNECT_GRACE
        )

    def _update_members(self, members: tuple[core.Member, ...]) -> None:
        chosen = self._choose_entries(members)
        wanted = {member.incarnation: member for member in chosen}
        self._record_choice(members, set(wanted))
        newest_incarnations = {
            member.address: member.incarnation for member in members
        }
        for incarnation, link in list(self._links.items()):
            newest = newest_incarnations.get(link.member.address, incarnation)
            gone = link.lost and incarnation not in wanted
            if newest > incarnation or gone:
                self._drop(incarnation)
        current = {
            link.member.address: incarnation
            for incarnation, link in self._links.items()
        }
        for incarnation, member in wanted.items():
            # An outdated list may still name an earlier incarnation.
            if incarnation > current.get(member.address, 0):
                self._open(member)
        self._set_members(members)

    def _choose_entries(
        self, members: tuple[core.Member, ...]
    ) -> tuple[core.Member, ...]:
        # A link to an entry that has just left would be dropped at its first
        # answer, and opened again by the next list that names the entry.
        present = tuple(
            member
            for member in members
            if member.incarnation not in self._left
        )
        return core.choose_entries(
            self._settings.name,
            present,
            self._settings.entries,
            self._settings.region,
            self._settings.domain,
        )

    def _set_members(self, members: tuple[core.Member, ...]) -> None:
        self._members = members
        self._members_digest = core.digest_members(members)

    def _record_choice(
        self, members: tuple[core.Member, ...], wanted: set[int]
    ) -> None:
        now = self._clock.now()
        known = {member.incarnation for member in members}
        for incarnation, link in self._links.items():
            if incarnation in wanted:
                link.cancel_departure()
            elif incarnation in known and link.unchosen_at is None:
                link.unchosen_at = now

    def _leave_unchosen(self, now: datetime.datetime) -> None:
        for incarnation, link in list(self._links.items()):
            if link.released and not self._executor.holds(incarnation):
                self._close(incarnation)
            elif self._may_leave(link, now):
                link.departure = next(self._numbers)
                self._send_report(incarnation, link)

    def _may_leave(self, link: Link, now: datetime.datetime) -> bool:
        since = link.unchosen_at
        if since is None or link.lost or link.departure:
            return False
        # Lists from entries with different views may alternate, so the entry
        # may soon be chosen again.
        if now - since <= self._settings.entry_lost_after:
            return False
        chosen = self._choose_entries(self._members)
        links = [self._links.get(member.incarnation) for member in chosen]
        return bool(links) and not any(
            other is None or other.lost for other in links
        )

    def _open(self, member: core.Member) -> None:
        now = self._clock.now()
        component = self._open_socket(member)
        heartbeat = self._settings.heartbeat
        link = Link(
            member,
            component,
            received_at=now,
            confirmed_at=now,
            interval=heartbeat,
            reported_at=now,
            sent_at=now,
            opened_at=now,
        )
        self._links[member.incarnation] = link
        # The handshake may complete before the socket's events are monitored.
        self._executor.connect(member.incarnation)
        self.fire(_events.entry_linked(member))

    def _reconnect(self, link: Link) -> None:
        # An open connection may be unusable: the entry reads only the latest
        # one of an identity, and a refused key ends all retries.
        link.socket.close()
        link.socket = self._open_socket(link.member)
        link.opened_at = self._clock.now()
        link.disconnected_at = None

    def _open_socket(self, member: core.Member) -> transport.MessageSocket:
        identity = core.encode_identity(self._settings.name, self._incarnation)
        sock = transport.open_dealer(self._context, member.address, identity)
        return transport.MessageSocket(
            f"entry-{member.incarnation}-{next(self._numbers)}",
            self._poller,
            sock,
            str(member.incarnation).encode(),
        ).register(self)

    def _drop(self, incarnation: int) -> None:
        if incarnation in self._links:
            self._close(incarnation)
            # The digest of an empty list makes the next entry that answers
            # send the current members.
            self._set_members(())

    def _close(self, incarnation: int) -> None:
        self._links.pop(incarnation).socket.close()
        self._executor.give_up(incarnation)
        self.fire(_events.entry_dropped(incarnation), "runner")

    def _send_all_reports(self) -> None:
        for incarnation, link in self._links.items():
            self._send_report(incarnation, link)

    def _ask_busy_entries(self) -> None:
        # Their answers show which runs are still wanted.
        for incarnation, link in self._links.items():
            if self._executor.count_own(incarnation):
                self._send_report(incarnation, link)

    def _send_report(self, incarnation: int, link: Link) -> None:
        link.reported_at = link.sent_at = self._clock.now()
        if self._evacuation is not None:
            self._evacuation.tell(incarnation, link.socket.channel)
        message = self._make_report(incarnation)
        if link.departure:
            message = core.Goodbye(
                self._settings.name,
                self._incarnation,
                link.departure,
                self._measure_sent_ms(),
            )
        self.fire(transport.send_message(b"", message), link.socket.channel)

    def _make_report(self, incarnation: int) -> core.Report:
        executor = self._executor
        announcement = executor.announcement
        return core.Report(
            self._settings.name,
            self._incarnation,
            announcement.service if announcement else "",
            self._settings.domain,
            executor.state,
            announcement.resources if announcement else core.Resources(),
            executor.measure_load(incarnation),
            executor.configuration_version,
            self._members_digest,
            executor.get_link(incarnation),
            announcement.room if announcement else msgspec.UNSET,
            self._measure_sent_ms(),
            executor.measure_cold_ms(self._clock.now()),
        )

    def _measure_sent_ms(self) -> int:
        return (self._clock.now() - self._started_at) // MILLISECOND
