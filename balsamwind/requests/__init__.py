"""Request path: execution of completions and plain service calls."""

from balsamwind.requests._answers import AnswerChecker
from balsamwind.requests._completions import CompletionRequest
from balsamwind.requests._completions import CompletionRunner
from balsamwind.requests._request_state import plan_next_step
from balsamwind.requests._request_state import RequestState
from balsamwind.requests._resume import Candidate
from balsamwind.requests._resume import CHARACTERS_PER_TOKEN
from balsamwind.requests._resume import choose_next_step
from balsamwind.requests._resume import classify_failure
from balsamwind.requests._resume import FailureKind
from balsamwind.requests._resume import GiveUp
from balsamwind.requests._resume import ImportCache
from balsamwind.requests._resume import Prefill
from balsamwind.requests._resume import Progress
from balsamwind.requests._resume import Reattach
from balsamwind.requests._resume import ResumeCostParameters
from balsamwind.requests._resume import Wait
from balsamwind.requests._service_calls import load_body
from balsamwind.requests._service_calls import ServiceCallRunner

__all__ = [
    'CHARACTERS_PER_TOKEN',
    'AnswerChecker',
    'Candidate',
    'CompletionRequest',
    'CompletionRunner',
    'FailureKind',
    'GiveUp',
    'ImportCache',
    'Prefill',
    'Progress',
    'Reattach',
    'RequestState',
    'ResumeCostParameters',
    'ServiceCallRunner',
    'Wait',
    'choose_next_step',
    'classify_failure',
    'load_body',
    'plan_next_step',
]
