"""Configuration of routes, services, request limits and client accounts."""

from balsamwind.traffic._changes import apply_change
from balsamwind.traffic._changes import ConfigurationChange
from balsamwind.traffic._changes import NO_CONFIGURATION
from balsamwind.traffic._changes import plan_change
from balsamwind.traffic._changes import RouteKey
from balsamwind.traffic._configuration_cache import ConfigurationCache
from balsamwind.traffic._homes import Homes
from balsamwind.traffic._homes import NO_REGIONS
from balsamwind.traffic._index import RouteIndex
from balsamwind.traffic._objects import ClientAccount
from balsamwind.traffic._objects import Configuration
from balsamwind.traffic._objects import EngineProfile
from balsamwind.traffic._objects import ModelProfile
from balsamwind.traffic._objects import RequestKind
from balsamwind.traffic._objects import RequestLimits
from balsamwind.traffic._objects import Route
from balsamwind.traffic._objects import Service
from balsamwind.traffic._objects import Target

__all__ = [
    'NO_CONFIGURATION',
    'NO_REGIONS',
    'ClientAccount',
    'Configuration',
    'ConfigurationCache',
    'ConfigurationChange',
    'EngineProfile',
    'Homes',
    'ModelProfile',
    'RequestKind',
    'RequestLimits',
    'Route',
    'RouteIndex',
    'RouteKey',
    'Service',
    'Target',
    'apply_change',
    'plan_change',
]
