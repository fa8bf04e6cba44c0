"""The request path: one completion, one service call."""

from balsamwind.requests._answers import AnswerChecker
from balsamwind.requests._completions import CompletionRequest
from balsamwind.requests._completions import Completions
from balsamwind.requests._service_calls import load_body
from balsamwind.requests._service_calls import ServiceCalls

__all__ = [
    'AnswerChecker',
    'CompletionRequest',
    'Completions',
    'ServiceCalls',
    'load_body',
]
