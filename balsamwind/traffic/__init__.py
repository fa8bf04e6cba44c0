"""Configuration of routes, services, request limits and client accounts."""

from balsamwind.traffic._configuration_cache import ConfigurationBook
from balsamwind.traffic._index import RouteIndex
from balsamwind.traffic._objects import ClientAccount
from balsamwind.traffic._objects import Configuration
from balsamwind.traffic._objects import EngineTerms
from balsamwind.traffic._objects import Limits
from balsamwind.traffic._objects import ModelTerms
from balsamwind.traffic._objects import RequestKind
from balsamwind.traffic._objects import Route
from balsamwind.traffic._objects import Service
from balsamwind.traffic._objects import Target

__all__ = [
    'ClientAccount',
    'Configuration',
    'ConfigurationBook',
    'EngineTerms',
    'Limits',
    'ModelTerms',
    'RequestKind',
    'Route',
    'RouteIndex',
    'Service',
    'Target',
]
