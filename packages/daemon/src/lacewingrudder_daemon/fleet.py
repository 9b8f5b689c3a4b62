"""Processes of a fleet that finds itself through seeds and forwards by flow tag.

Nothing is imported here but settings and contracts: an entry host loads no part of a control host,
whose start would then cost processor time before the first packet is forwarded.
"""

from ._fleet.adapters import ConfigurationReader as ConfigurationReader
from ._fleet.adapters import OutgoingPacket as OutgoingPacket
from ._fleet.adapters import PacketAdapter as PacketAdapter
from ._fleet.event_log import EventLog as EventLog
from ._fleet.settings import FleetSettings as FleetSettings
from ._fleet.settings import RegistrarSettings as RegistrarSettings
from ._fleet.settings import SettingsFile as SettingsFile
from ._fleet.settings import TagEntrySettings as TagEntrySettings
