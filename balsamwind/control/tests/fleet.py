"""Views of small fleets, for tests of the control path."""

import random

from balsamwind import catalogue
from balsamwind import control
from balsamwind import membership
from balsamwind import objects
from balsamwind import ports
from balsamwind import settings

NOW = 1000.0
AGE = 60.0
SETTINGS = {
    'node': {'name': 'n', 'data_centre': 'a'},
    'listen': {'callers': 'h:1', 'operators': 'h:2', 'peers': 'h:3'},
    'platform': {'url': 'http://h:4'},
}
TERMS = objects.ModelTerms('m', 'v1', 1, 4)


class Fleet:
    """VMs named ``<data centre>-<domain>-<number>``, and objects.

    Parameters
    ----------
    domains : dict of str to int
        ``<data centre>-<domain>`` -> VMs (count).
    placement : dict, optional
        Placement settings that differ from the defaults.
    """

    def __init__(self, domains, **placement):
        self.catalogue = catalogue.Catalogue()
        self.observations = membership.Observations(3.0)
        self.settings = settings.check_settings(
            {**SETTINGS, 'placement': placement}
        )
        self.revision = 0
        self.group_in_flight = {}
        self.listed = {}
        for key, count in domains.items():
            data_centre, domain = key.split('-')
            for index in range(count):
                name = f'{key}-{index}'
                self.listed[name] = ports.ListedVm(
                    name, f'h:{index + 1}', data_centre, domain
                )
                self.report(name)

    def report(self, vm, down_for=0.0, **fields):
        """Let a VM be seen up, or down for some time."""
        fields = {'state': ports.EngineState.EMPTY, **fields}
        report = ports.EngineReport(vm=vm, **fields)
        if down_for:
            self.observations.update(vm, False, None, 'n', NOW - down_for)
        self.observations.update(
            vm, not down_for, None if down_for else report, 'n', NOW
        )

    def leave(self, vm):
        """Put a VM on the list of those that leave."""
        row = self.listed[vm]
        self.listed[vm] = ports.ListedVm(
            row.name,
            row.address,
            row.data_centre,
            row.fabric_domain,
            state=ports.VmState.LEAVING,
        )

    def put(self, kind, name, value):
        """Store an object."""
        self.revision += 1
        self.catalogue.apply(
            objects.Stored(kind, name, self.revision, value), NOW - AGE
        )

    def contract(self, customer, priority, replicas, split=None, size=4):
        """Store a contract, and its allocation if `split` is given."""
        terms = objects.ModelTerms('m', 'v1', replicas, size)
        contract = objects.Contract(
            customer,
            (),
            '2020-01-01T00:00:00Z',
            '2099-01-01T00:00:00Z',
            priority,
            (terms,),
        )
        self.put('contract', customer, contract)
        if split is not None:
            allocation = objects.Allocation(customer, {'m': split})
            self.put('allocation', customer, allocation)

    def group(self, name, contract, vms, **changes):
        """Store a group that serves, with its claims and reports."""
        state = objects.GroupState.READY
        first = self.listed[vms[0]]
        members = tuple(objects.Member(v, self.listed[v].address) for v in vms)
        fields = {
            'data_centre': first.data_centre,
            'fabric_domain': first.fabric_domain,
            'members': members,
            'generation': 1,
            'state': state,
            **changes,
        }
        self.put(
            'group', name, objects.Group(name, contract, 'm', 'v1', **fields)
        )
        for vm in vms:
            self.put('claim', vm, objects.Claim(vm, name))
            self.report(
                vm,
                state=ports.EngineState.READY,
                group=name,
                generation=fields['generation'],
                model='m',
                version='v1',
                cached=('m@v1',),
            )

    def view(self, seed=0):
        """What a control round decides from."""
        return control.View(
            self.catalogue,
            self.observations,
            self.listed,
            self.settings,
            NOW,
            1.8e9,
            random.Random(seed),
            self.group_in_flight,
        )

    def groups(self, data_centre='a', seed=0):
        """Group records that one round writes, by name."""
        decisions = control.plan_groups(self.view(seed), data_centre, 1)
        return {
            decision.name: decision.value
            for decision in decisions
            if isinstance(decision, control.PutObject)
            and decision.kind == 'group'
        }

    def allocations(self):
        """Allocations that one round writes, by contract."""
        decisions = control.plan_allocations(self.view(), 1)
        return {decision.name: decision.value for decision in decisions}
