"""Reverse proxy that relays requests to backend servers as bytes."""

from balsamwind.relay._backends import Backend
from balsamwind.relay._backends import PlaceBook
from balsamwind.relay._event_stream import EventStreamBuffer
from balsamwind.relay._load_balancing import choose_backend
from balsamwind.relay._load_balancing import NoBackendAvailable
from balsamwind.relay._load_balancing import predict_time_to_first_event
from balsamwind.relay._load_balancing import RequestRequirements
from balsamwind.relay._metadata import AnswerTerms
from balsamwind.relay._metadata import ReportedLoad
from balsamwind.relay._metadata import RequestTerms
from balsamwind.relay._metadata import Send
from balsamwind.relay._model_demand import DemandMeter
from balsamwind.relay._model_demand import predict_service_time
from balsamwind.relay._relay import IncomingRequest
from balsamwind.relay._relay import Relay
from balsamwind.relay._retry_budget import RetryBudget

__all__ = [
    'AnswerTerms',
    'Backend',
    'DemandMeter',
    'EventStreamBuffer',
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
    'predict_service_time',
    'predict_time_to_first_event',
]
