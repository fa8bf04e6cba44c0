"""Request path: execution of completions and plain service calls."""

from balsamwind.requests._answers import AnswerChecker
from balsamwind.requests._completions import CompletionRequest
from balsamwind.requests._completions import Completions
from balsamwind.requests._request_state import plan_next
from balsamwind.requests._request_state import Run
from balsamwind.requests._resume import Candidate
from balsamwind.requests._resume import CHARACTERS_PER_TOKEN
from balsamwind.requests._resume import choose_next_step
from balsamwind.requests._resume import classify_failure
from balsamwind.requests._resume import EngineRates
from balsamwind.requests._resume import Failure
from balsamwind.requests._resume import GiveUp
from balsamwind.requests._resume import ImportCache
from balsamwind.requests._resume import Prefill
from balsamwind.requests._resume import Progress
from balsamwind.requests._resume import Reattach
from balsamwind.requests._resume import Wait
from balsamwind.requests._service_calls import load_body
from balsamwind.requests._service_calls import ServiceCalls

__all__ = [
    'CHARACTERS_PER_TOKEN',
    'AnswerChecker',
    'Candidate',
    'CompletionRequest',
    'Completions',
    'EngineRates',
    'Failure',
    'GiveUp',
    'ImportCache',
    'Prefill',
    'Progress',
    'Reattach',
    'Run',
    'ServiceCalls',
    'Wait',
    'choose_next_step',
    'classify_failure',
    'load_body',
    'plan_next',
]
