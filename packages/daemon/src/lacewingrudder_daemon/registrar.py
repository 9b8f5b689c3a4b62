"""Public API of control hosts that handle target check-ins and operators' configurations."""

from ._fleet.control import RegistrarProcess as RegistrarProcess
from ._fleet.http import HttpHandler as HttpHandler
from ._fleet.http import HttpRequest as HttpRequest
from ._fleet.http import HttpResponse as HttpResponse
