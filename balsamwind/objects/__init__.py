"""Objects stored in the platform's object API, and their encoding."""

from balsamwind.objects._allocation import Allocation
from balsamwind.objects._call import Answer
from balsamwind.objects._call import CALL_KINDS
from balsamwind.objects._call import CallRecord
from balsamwind.objects._claim import Claim
from balsamwind.objects._codec import decode
from balsamwind.objects._codec import encode
from balsamwind.objects._contract import check_contract
from balsamwind.objects._contract import Contract
from balsamwind.objects._contract import Limits
from balsamwind.objects._contract import make_key_hash
from balsamwind.objects._contract import ModelTerms
from balsamwind.objects._contract import parse_timestamp
from balsamwind.objects._epoch import Epoch
from balsamwind.objects._epoch import EPOCH_NAME
from balsamwind.objects._group import Group
from balsamwind.objects._group import GroupState
from balsamwind.objects._group import Member
from balsamwind.objects._lease import Lease
from balsamwind.objects._node import Node
from balsamwind.objects._stored import check_revision
from balsamwind.objects._stored import decode_object_version
from balsamwind.objects._stored import KINDS
from balsamwind.objects._stored import ObjectVersion
from balsamwind.objects._stored import WATCHED_KINDS

__all__ = [
    'CALL_KINDS',
    'EPOCH_NAME',
    'KINDS',
    'WATCHED_KINDS',
    'Allocation',
    'Answer',
    'CallRecord',
    'Claim',
    'Contract',
    'Epoch',
    'Group',
    'GroupState',
    'Lease',
    'Limits',
    'Member',
    'ModelTerms',
    'Node',
    'ObjectVersion',
    'check_contract',
    'check_revision',
    'decode',
    'decode_object_version',
    'encode',
    'make_key_hash',
    'parse_timestamp',
]
