"""A control host that targets check in with and operators hand configurations to."""

from ._fleet.control import RegistrarProcess as RegistrarProcess
from ._fleet.http import HttpHandler as HttpHandler
from ._fleet.http import HttpRequest as HttpRequest
from ._fleet.http import HttpResponse as HttpResponse
