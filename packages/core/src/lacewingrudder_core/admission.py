"""Admission control for new flows."""

from ._admission.overload import SynLimiter as SynLimiter
from ._admission.policy import AdmissionPolicy as AdmissionPolicy
from ._admission.policy import AdmitAll as AdmitAll
from ._admission.shares import ShareAdmission as ShareAdmission
from ._admission.shares import SharedLimitAdmission as SharedLimitAdmission
