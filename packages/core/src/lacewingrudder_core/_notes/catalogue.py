"""The changes that operators submit, and the catalogue that results from applying them in order."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ..types import OrderAction, Service, TargetName, TargetOrder
from .checks import NoteParts, catalogue_problem, parts_problem
from .configurations import StoredConfiguration
from .evacuations import Evacuations, ZoneOrder

MAX_KEPT_RECEIPTS = 10_000


class Note(NamedTuple):
    """A release note: a set of changes to services that is applied atomically.

    :param number: chosen by the operator; identifies the note when it is resent.
    :param base: the revision that the note was written against; it has to be the current one.
    :param digest: hash of the note's contents, as hexadecimal text.
    """

    number: int
    base: int
    added: tuple[Service, ...]
    changed: tuple[Service, ...]
    withdrawn: tuple[str, ...]
    digest: str

    @property
    def parts(self) -> NoteParts:
        """The services that the note adds, changes and withdraws."""
        return NoteParts(self.added, self.changed, self.withdrawn)


class Change(NamedTuple):
    """An applied change: exactly one of a note, an order, a configuration and a zone order.

    :param revision: the revision that the change produced.
    """

    revision: int
    note: Note | None
    order: TargetOrder | None
    configuration: StoredConfiguration | None = None
    zone_order: ZoneOrder | None = None


class NoteReceipt(NamedTuple):
    """A record of an accepted note, so that resending the note gets the same answer."""

    number: int
    digest: str
    revision: int


class SubmitTag(enum.StrEnum):
    """The outcome of a submission.

    Refused means that the submission was certainly not applied and may be sent again; unknown means
    that it may have been applied.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    REFUSED = "refused"
    INVALID = "invalid"
    UNKNOWN = "unknown"


class SubmitReply(NamedTuple):
    """The answer to a submission.

    :param revision: the revision that the change produced, or the current one if it was not
        accepted.
    :param detail: the reason, as text for the operator; empty when accepted.
    """

    tag: SubmitTag
    revision: int
    detail: str


class Catalogue(NamedTuple):
    """All services and orders at one revision; immutable, so that a snapshot needs no copy.

    :param receipts: records of the latest accepted notes, oldest first.
    :param configuration: the submitted configuration with the highest version, or ``None``.
    :param evacuations: the zones whose targets get no new flows.
    """

    revision: int = 0
    services: tuple[Service, ...] = ()
    orders: tuple[TargetOrder, ...] = ()
    receipts: tuple[NoteReceipt, ...] = ()
    configuration: StoredConfiguration | None = None
    evacuations: Evacuations = Evacuations()

    @property
    def configuration_version(self) -> int:
        """Version of the configuration, or -1 if there is none."""
        return -1 if self.configuration is None else self.configuration.version

    def service(self, name: str) -> Service | None:
        """Return the service of a name, or ``None``."""
        return next((service for service in self.services if service.name == name), None)

    def order(self, target: TargetName) -> OrderAction | None:
        """Return the order in force for a target, or ``None``."""
        return next((order.action for order in self.orders if order.target == target), None)

    def check(self, note: Note) -> SubmitReply | None:
        """Return the answer to a note that can't be applied or was already applied, or ``None``."""
        for receipt in self.receipts:
            if receipt.number == note.number:
                return self._answer_resent(note, receipt)
        if note.base != self.revision:
            return SubmitReply(
                SubmitTag.CONFLICT,
                self.revision,
                f"note is based on revision {note.base}, but the current one is {self.revision}",
            )
        services = {service.name: service for service in self.services}
        problem = parts_problem(note.parts) or catalogue_problem(note.parts, services)
        if problem is not None:
            return SubmitReply(SubmitTag.INVALID, self.revision, str(problem))
        return None

    def submit_note(self, note: Note) -> SubmitOutcome:
        """Apply a note if it is valid; the outcome is the same on every replica."""
        problem = self.check(note)
        if problem is not None:
            return SubmitOutcome(problem, None, self)
        return self._accept(Change(self.revision + 1, note, None))

    def submit_order(self, order: TargetOrder) -> SubmitOutcome:
        """Apply an order; one that is already in force is accepted without a new revision."""
        new_action = None if order.action is OrderAction.RESTORE else order.action
        if self.order(order.target) == new_action:
            return SubmitOutcome(SubmitReply(SubmitTag.ACCEPTED, self.revision, ""), None, self)
        return self._accept(Change(self.revision + 1, None, order))

    def submit_configuration(self, configuration: StoredConfiguration) -> SubmitOutcome:
        """Apply a configuration; one that is not newer is accepted and changes nothing."""
        if configuration.version <= self.configuration_version:
            return SubmitOutcome(SubmitReply(SubmitTag.ACCEPTED, self.revision, ""), None, self)
        return self._accept(Change(self.revision + 1, None, None, configuration))

    def submit_zone_order(self, order: ZoneOrder) -> SubmitOutcome:
        """Apply a zone order; one that is already in force is accepted without a new revision."""
        if self.evacuations.is_in_force(order):
            return SubmitOutcome(SubmitReply(SubmitTag.ACCEPTED, self.revision, ""), None, self)
        return self._accept(Change(self.revision + 1, None, None, zone_order=order))

    def apply(self, change: Change) -> Catalogue:
        """Return the catalogue after a change; a note must have passed :meth:`check`."""
        if change.note is not None:
            return self._with_note(change.revision, change.note)
        if change.order is not None:
            return self._with_order(change.revision, change.order)
        if change.configuration is not None:
            return self._replace(revision=change.revision, configuration=change.configuration)
        if change.zone_order is not None:
            evacuations = self.evacuations.apply(change.zone_order, change.revision)
            return self._replace(revision=change.revision, evacuations=evacuations)
        return self._replace(revision=change.revision)

    def _accept(self, change: Change) -> SubmitOutcome:
        reply = SubmitReply(SubmitTag.ACCEPTED, change.revision, "")
        return SubmitOutcome(reply, change, self.apply(change))

    def _answer_resent(self, note: Note, receipt: NoteReceipt) -> SubmitReply:
        if receipt.digest == note.digest:
            return SubmitReply(SubmitTag.ACCEPTED, receipt.revision, "")
        return SubmitReply(
            SubmitTag.CONFLICT,
            self.revision,
            f"number {note.number} is already used by another note, of revision {receipt.revision}",
        )

    def _with_note(self, revision: int, note: Note) -> Catalogue:
        services = {service.name: service for service in self.services}
        for name in note.withdrawn:
            del services[name]
        for service in note.added + note.changed:
            services[service.name] = service
        receipt = NoteReceipt(note.number, note.digest, revision)
        return self._replace(
            revision=revision,
            services=tuple(services[name] for name in sorted(services)),
            receipts=(*self.receipts[1 - MAX_KEPT_RECEIPTS :], receipt),
        )

    def _with_order(self, revision: int, order: TargetOrder) -> Catalogue:
        others = tuple(other for other in self.orders if other.target != order.target)
        kept = () if order.action is OrderAction.RESTORE else (order,)
        return self._replace(revision=revision, orders=others + kept)


class SubmitOutcome(NamedTuple):
    """The result of a submitted note, order, configuration or zone order.

    :param change: the change that was applied, or ``None``.
    :param catalogue: the catalogue afterwards.
    """

    reply: SubmitReply
    change: Change | None
    catalogue: Catalogue
