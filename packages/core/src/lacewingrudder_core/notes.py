"""Release notes, target orders and configurations, and the catalogue they are applied to."""

from ._notes.catalogue import Catalogue as Catalogue
from ._notes.catalogue import Change as Change
from ._notes.catalogue import Note as Note
from ._notes.catalogue import NoteReceipt as NoteReceipt
from ._notes.catalogue import SubmitReply as SubmitReply
from ._notes.catalogue import SubmitTag as SubmitTag
from ._notes.checks import parts_problem as parts_problem
from ._notes.configurations import StoredConfiguration as StoredConfiguration
from ._notes.evacuations import Evacuations as Evacuations
from ._notes.evacuations import ZoneAction as ZoneAction
from ._notes.evacuations import ZoneOrder as ZoneOrder
