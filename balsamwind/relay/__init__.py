"""Reverse proxy that relays requests to backend servers as bytes."""

from balsamwind.relay._attempt_carrier import AttemptCarrier
from balsamwind.relay._attempt_carrier import plan_refusal
from balsamwind.relay._attempts import AttemptProgress
from balsamwind.relay._backends import Backend
from balsamwind.relay._backends import BackendTable
from balsamwind.relay._carried_attempts import AnswerData
from balsamwind.relay._carried_attempts import AnswerEnd
from balsamwind.relay._carried_attempts import AnswerHead
from balsamwind.relay._carried_attempts import AttemptAccepted
from balsamwind.relay._carried_attempts import AttemptFailed
from balsamwind.relay._carried_attempts import CarryFailure
from balsamwind.relay._carried_attempts import combine_opinions
from balsamwind.relay._carried_attempts import NOT_CARRIED
from balsamwind.relay._carried_attempts import OutgoingAttempt
from balsamwind.relay._carried_attempts import Reach
from balsamwind.relay._carried_attempts import ReachQuery
from balsamwind.relay._carried_attempts import ReachReply
from balsamwind.relay._crash_evidence import CrashEvidence
from balsamwind.relay._crash_evidence import CrashReport
from balsamwind.relay._crash_evidence import EndVerdict
from balsamwind.relay._crash_evidence import PartCleared
from balsamwind.relay._crash_evidence import QuarantineBegun
from balsamwind.relay._crash_evidence import SoundPart
from balsamwind.relay._crash_quarantine import CrashQuarantine
from balsamwind.relay._direct_path import READ_MARGIN
from balsamwind.relay._load_balancing import choose_backend
from balsamwind.relay._load_balancing import NoBackendAvailable
from balsamwind.relay._load_balancing import predict_time_to_first_event
from balsamwind.relay._load_balancing import RequestRequirements
from balsamwind.relay._metadata import ForwardedMetadata
from balsamwind.relay._metadata import ReportedLoad
from balsamwind.relay._metadata import RequestMetadata
from balsamwind.relay._metadata import ResponseMetadata
from balsamwind.relay._model_demand import DemandMeter
from balsamwind.relay._model_demand import predict_service_time
from balsamwind.relay._path_prober import PathProber
from balsamwind.relay._paths import PathState
from balsamwind.relay._paths import PathTable
from balsamwind.relay._peer_selection import Peer
from balsamwind.relay._peer_selection import PeerSelector
from balsamwind.relay._peer_service import PeerService
from balsamwind.relay._placement import BackendKey
from balsamwind.relay._placement import NoPlacementService
from balsamwind.relay._placement import Outcome
from balsamwind.relay._placement import Placement
from balsamwind.relay._placement import PlacementSession
from balsamwind.relay._quiet_servers import make_quiet_servers
from balsamwind.relay._quiet_servers import MAX_PAUSE
from balsamwind.relay._quiet_servers import QuietServer
from balsamwind.relay._quiet_servers import QuietServers
from balsamwind.relay._relay import IncomingRequest
from balsamwind.relay._relay import Relay
from balsamwind.relay._repeats import Repeats
from balsamwind.relay._retry_budget import RetryBudget
from balsamwind.relay._server_limits import ServerLimits
from balsamwind.relay._server_limits import StatedLimit
from balsamwind.relay._waiting_room import WaitingRequest
from balsamwind.relay._waiting_room import WaitingRoom

__all__ = [
    'AnswerData',
    'AnswerEnd',
    'AnswerHead',
    'AttemptAccepted',
    'AttemptCarrier',
    'AttemptFailed',
    'AttemptProgress',
    'Backend',
    'BackendKey',
    'BackendTable',
    'CarryFailure',
    'CrashEvidence',
    'CrashQuarantine',
    'CrashReport',
    'DemandMeter',
    'EndVerdict',
    'ForwardedMetadata',
    'IncomingRequest',
    'MAX_PAUSE',
    'NOT_CARRIED',
    'NoBackendAvailable',
    'NoPlacementService',
    'Outcome',
    'OutgoingAttempt',
    'PartCleared',
    'PathProber',
    'PathState',
    'PathTable',
    'Peer',
    'PeerSelector',
    'PeerService',
    'READ_MARGIN',
    'Placement',
    'PlacementSession',
    'QuarantineBegun',
    'QuietServer',
    'QuietServers',
    'Reach',
    'ReachQuery',
    'ReachReply',
    'Relay',
    'ReportedLoad',
    'RequestMetadata',
    'Repeats',
    'RequestRequirements',
    'ResponseMetadata',
    'RetryBudget',
    'ServerLimits',
    'SoundPart',
    'StatedLimit',
    'WaitingRequest',
    'WaitingRoom',
    'choose_backend',
    'combine_opinions',
    'make_quiet_servers',
    'plan_refusal',
    'predict_service_time',
    'predict_time_to_first_event',
]
