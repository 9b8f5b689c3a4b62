"""A control host that targets check in with and operators hand configurations to."""

from ._fleet.control import RegistrarProcess as RegistrarProcess
