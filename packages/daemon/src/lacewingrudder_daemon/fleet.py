"""Public API for fleets that are discovered through seeds and forward packets by flow tag.

Only settings and interfaces are imported here. An entry host must not import the modules of a
control host: that would cost processor time at startup, before the first packet is forwarded.
"""

from ._fleet.adapters import ConfigurationReader as ConfigurationReader
from ._fleet.adapters import OutgoingPacket as OutgoingPacket
from ._fleet.adapters import PacketAdapter as PacketAdapter
from ._fleet.adapters import finish as finish
from ._fleet.event_log import EventLog as EventLog
from ._fleet.settings import FleetSettings as FleetSettings
from ._fleet.settings import RegistrarSettings as RegistrarSettings
from ._fleet.settings import SettingsFile as SettingsFile
from ._fleet.settings import TagEntrySettings as TagEntrySettings
