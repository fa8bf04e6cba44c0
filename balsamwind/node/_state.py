"""State of a node, for its metrics and its log."""

import collections

from prometheus_client import core

from balsamwind import pool


class NodeStateCollector:
    """Collects the state of a node's components on demand.

    Parameters
    ----------
    configuration_cache : balsamwind.traffic.ConfigurationCache
        Configuration in force.
    registry : balsamwind.pool.ServerRegistry
        Entries of the backend servers.
    leaders : list of ShardLeader
        Leader of each shard, whether it holds the lease or not.
    platform : balsamwind.platform.PlatformClient
        Client of the platform's store, which counts its calls.
    relay : balsamwind.relay.Relay
        Request path, which counts the open requests.
    clock : balsamwind.ports.Clock
        Monotonic clock.
    evacuations : balsamwind.servers.Evacuations
        Evacuated data centres.
    data_centres : tuple of str
        All data centres.
    """

    __slots__ = (
        '_clock',
        '_configuration_cache',
        '_data_centres',
        '_evacuations',
        '_leaders',
        '_platform',
        '_registry',
        '_relay',
    )

    def __init__(
        self,
        configuration_cache,
        registry,
        leaders,
        platform,
        relay,
        clock,
        evacuations,
        data_centres,
    ):
        self._evacuations = evacuations
        self._data_centres = data_centres
        self._configuration_cache = configuration_cache
        self._registry = registry
        self._leaders = leaders
        self._platform = platform
        self._relay = relay
        self._clock = clock

    def count_groups(self):
        """Count the replica groups.

        Returns
        -------
        collections.Counter
            Number of groups by model and state of the head.
        """
        counts = collections.Counter()
        configuration = self._configuration_cache.configuration
        if configuration is None:
            return counts
        for service in configuration.services:
            if service.engine is None:
                continue
            records = self._registry.get_by_service(service.name)
            groups = pool.find_groups(records, service.engine)
            for group in groups.values():
                state = group.state.value if group.state else 'headless'
                if group.state is pool.MemberState.OPEN and not group.serving:
                    state = 'open, not whole'
                counts[group.model, state] += 1
        return counts

    def _count_cold(self, now):
        cold = self._relay.server_statements.limits.cold
        return cold.count(self._registry, now)

    def make_log_fields(self):
        """Make the fields of the regular log line, by name."""
        now = self._clock.monotonic()
        return {
            'version': self._configuration_cache.version,
            'proof_age': round(
                min(self._configuration_cache.get_proof_age(now), 1e6), 2
            ),
            'open_requests': self._relay.open_requests,
            'quarantined_parts': (
                self._relay.crash_quarantine.count_quarantined(now)
            ),
            'limited_servers': (
                self._relay.server_statements.limits.limited_count
            ),
            'evacuated': self._find_evacuated(),
            'waiting_requests': len(self._relay.waiting_room),
            'cold_servers': self._count_cold(now),
            'ramping_backends': self._relay.backends.ramping_count,
            'lost_paths': self._relay.paths.lost_services,
            'attempts_through_peers': self._relay.peers.carried_attempts,
            'leads': [
                leader.lease.shard
                for leader in self._leaders
                if leader.lease.held
            ],
            'groups': {
                f'{model} {state}': count
                for (model, state), count in self.count_groups().items()
            },
            'store_calls': {
                ' '.join(key): count
                for key, count in sorted(
                    self._platform.store_call_counts.items()
                )
            },
        }

    def _find_evacuated(self):
        return [
            data_centre
            for data_centre in self._data_centres
            if self._evacuations.is_evacuated(data_centre)
        ]

    def collect(self):
        """Yield the metric families; called for each scrape."""
        now = self._clock.monotonic()
        yield core.GaugeMetricFamily(
            'balsamwind_configuration_version',
            'Version of the configuration in force.',
            value=self._configuration_cache.version,
        )
        yield core.GaugeMetricFamily(
            'balsamwind_configuration_proof_age_seconds',
            'Time since the configuration was proved to be the newest.',
            value=self._configuration_cache.get_proof_age(now),
        )
        yield core.GaugeMetricFamily(
            'balsamwind_open_requests',
            'Requests without their final answer.',
            value=self._relay.open_requests,
        )
        yield core.GaugeMetricFamily(
            'balsamwind_held_body_bytes',
            'Bytes of bodies that are held or promised room.',
            value=self._relay.held_bytes.held,
        )
        yield core.GaugeMetricFamily(
            'balsamwind_quarantined_prompt_parts',
            'Prompt parts and requests that are not sent to servers.',
            value=self._relay.crash_quarantine.count_quarantined(now),
        )
        yield core.GaugeMetricFamily(
            'balsamwind_limited_servers',
            'Backend servers that state a limit on their requests.',
            value=self._relay.server_statements.limits.limited_count,
        )
        yield core.GaugeMetricFamily(
            'balsamwind_cold_servers',
            'Backend servers that are known to be cold.',
            value=self._count_cold(now),
        )
        yield core.GaugeMetricFamily(
            'balsamwind_ramping_backends',
            'Replica groups that have not shown their full pace yet.',
            value=self._relay.backends.ramping_count,
        )
        yield core.GaugeMetricFamily(
            'balsamwind_lost_paths',
            'Services whose servers this node itself does not reach.',
            value=len(self._relay.paths.lost_services),
        )
        yield core.CounterMetricFamily(
            'balsamwind_attempts_through_peers',
            'Attempts that other nodes carried for this one.',
            value=self._relay.peers.carried_attempts,
        )
        if self._evacuations.bound is not None:
            yield self._collect_evacuations()
        yield self._collect_waiting()
        yield self._collect_leases()
        yield self._collect_groups()
        yield self._collect_demand()
        yield self._collect_store_calls()

    def _collect_evacuations(self):
        family = core.GaugeMetricFamily(
            'balsamwind_evacuated',
            'Whether this node sends nothing to the data centre.',
            labels=('data_centre',),
        )
        now = self._clock.monotonic()
        for data_centre in self._data_centres:
            family.add_metric(
                (data_centre,), self._evacuations.forbids(data_centre, now)
            )
        return family

    def _collect_waiting(self):
        family = core.GaugeMetricFamily(
            'balsamwind_waiting_requests',
            'Requests of all nodes that wait at this one for a slot.',
            labels=('rank',),
        )
        counts = self._relay.waiting_room.count_by_rank()
        for rank, count in counts.items():
            family.add_metric((str(rank),), count)
        return family

    def _collect_leases(self):
        family = core.GaugeMetricFamily(
            'balsamwind_lease_held',
            'Whether this node leads the shard.',
            labels=('shard',),
        )
        for leader in self._leaders:
            family.add_metric((leader.lease.shard,), leader.lease.held)
        return family

    def _collect_groups(self):
        family = core.GaugeMetricFamily(
            'balsamwind_groups',
            'Replica groups, by model and state.',
            labels=('model', 'state'),
        )
        for key, count in self.count_groups().items():
            family.add_metric(key, count)
        return family

    def _collect_demand(self):
        family = core.GaugeMetricFamily(
            'balsamwind_shard_demand',
            'Requests that run and wait, as the leader of a shard sees it.',
            labels=('shard', 'model'),
        )
        for leader in self._leaders:
            if leader.lease.held:
                for model, count in leader.demand.items():
                    family.add_metric((leader.lease.shard, model), count)
        return family

    def _collect_store_calls(self):
        family = core.CounterMetricFamily(
            'balsamwind_store_calls',
            "Calls to the platform's store.",
            labels=('object', 'purpose'),
        )
        for key, count in self._platform.store_call_counts.items():
            family.add_metric(key, count)
        return family
