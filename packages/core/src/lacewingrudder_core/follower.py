"""Replication of the catalogue to an entry host."""

from ._follower.follower import CatalogueInForce as CatalogueInForce
from ._follower.follower import CataloguePersisted as CataloguePersisted
from ._follower.follower import ControlMessage as ControlMessage
from ._follower.follower import PersistCatalogue as PersistCatalogue
from ._follower.follower import SendToControl as SendToControl
