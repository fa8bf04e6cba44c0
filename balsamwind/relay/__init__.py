"""Reverse proxy that relays requests to backend servers as bytes."""

from balsamwind.relay._backends import Backend
from balsamwind.relay._backends import PlaceBook
from balsamwind.relay._demand import DemandMeter
from balsamwind.relay._demand import predict_busy_time
from balsamwind.relay._events import EventSplitter
from balsamwind.relay._load_balancing import choose_backend
from balsamwind.relay._load_balancing import NoBackendAvailable
from balsamwind.relay._load_balancing import predict_time_to_first_event
from balsamwind.relay._load_balancing import RequestRequirements
from balsamwind.relay._relay import IncomingRequest
from balsamwind.relay._relay import Relay
from balsamwind.relay._retry_budget import RetryBudget
from balsamwind.relay._terms import AnswerTerms
from balsamwind.relay._terms import ReportedLoad
from balsamwind.relay._terms import RequestTerms
from balsamwind.relay._terms import Send

__all__ = [
    'AnswerTerms',
    'Backend',
    'DemandMeter',
    'EventSplitter',
    'IncomingRequest',
    'NoBackendAvailable',
    'PlaceBook',
    'Relay',
    'ReportedLoad',
    'RequestRequirements',
    'RequestTerms',
    'RetryBudget',
    'Send',
    'choose_backend',
    'predict_busy_time',
    'predict_time_to_first_event',
]
