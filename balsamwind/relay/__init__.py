"""Requests relayed as bytes to backend servers."""

from balsamwind.relay._choice import choose_place
from balsamwind.relay._choice import Demand
from balsamwind.relay._choice import NoPlace
from balsamwind.relay._choice import predict_first_event
from balsamwind.relay._demand import DemandMeter
from balsamwind.relay._demand import predict_busy_time
from balsamwind.relay._events import EventSplitter
from balsamwind.relay._places import Place
from balsamwind.relay._places import PlaceBook
from balsamwind.relay._relay import IncomingRequest
from balsamwind.relay._relay import Relay
from balsamwind.relay._retry_budget import RetryBudget
from balsamwind.relay._terms import AnswerTerms
from balsamwind.relay._terms import ReportedLoad
from balsamwind.relay._terms import RequestTerms
from balsamwind.relay._terms import Send

__all__ = [
    'AnswerTerms',
    'Demand',
    'DemandMeter',
    'EventSplitter',
    'IncomingRequest',
    'NoPlace',
    'Place',
    'PlaceBook',
    'Relay',
    'ReportedLoad',
    'RequestTerms',
    'RetryBudget',
    'Send',
    'choose_place',
    'predict_busy_time',
    'predict_first_event',
]
