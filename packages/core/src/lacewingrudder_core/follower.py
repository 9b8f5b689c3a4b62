"""How an entry host follows the catalogue: revisions only grow."""

from ._follower.follower import CatalogueInForce as CatalogueInForce
from ._follower.follower import CataloguePersisted as CataloguePersisted
from ._follower.follower import ControlMessage as ControlMessage
from ._follower.follower import PersistCatalogue as PersistCatalogue
from ._follower.follower import SendToControl as SendToControl
