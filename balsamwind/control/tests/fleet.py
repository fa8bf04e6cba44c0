"""Small fleets of VMs with groups, for tests of the control path."""

import random

from balsamwind import catalogue
from balsamwind import control
from balsamwind import membership
from balsamwind import objects
from balsamwind import ports
from balsamwind import settings

NOW = 1000.0
OBJECT_AGE = 60.0
SETTINGS = {
    'node': {'name': 'n', 'data_centre': 'a'},
    'listen': {'callers': 'h:1', 'operators': 'h:2', 'peers': 'h:3'},
    'platform': {'url': 'http://h:4'},
}
TERMS = objects.ModelTerms('m', 'v1', 1, 4)


class Fleet:
    """Fleet of VMs that are all up and empty, with a catalogue of objects.

    The VMs are named ``<data centre>-<domain>-<index>``.

    Parameters
    ----------
    domains : dict of str to int
        ``<data centre>-<domain>`` -> VMs (count).
    **placement
        Placement settings that differ from the defaults.
    """

    def __init__(self, domains, **placement):
        self.catalogue = catalogue.ObjectCache()
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
                self.record_observation(name)

    def record_observation(self, vm, down_for=0.0, **fields):
        """Record an observation of a VM: up with a report, or down.

        Parameters
        ----------
        vm : str
            Name of the VM.
        down_for : float
            How long the VM has been down (seconds); 0 if it is up.
        **fields
            Fields of the engine's report; its state is EMPTY by default.
        """
        fields = {'state': ports.EngineState.EMPTY, **fields}
        report = ports.EngineReport(vm=vm, **fields)
        if down_for:
            self.observations.update(vm, False, None, 'n', NOW - down_for)
        self.observations.update(
            vm, not down_for, None if down_for else report, 'n', NOW
        )

    def mark_leaving(self, vm):
        """Mark a VM as leaving in the VM list.

        Parameters
        ----------
        vm : str
            Name of the VM.
        """
        row = self.listed[vm]
        self.listed[vm] = ports.ListedVm(
            row.name,
            row.address,
            row.data_centre,
            row.fabric_domain,
            state=ports.VmState.LEAVING,
        )

    def put(self, kind, name, value):
        """Apply an object to the catalogue, last changed `OBJECT_AGE` ago.

        Parameters
        ----------
        kind : str
            Kind of the object.
        name : str
            Name of the object.
        value : object
            Data class instance to store.
        """
        self.revision += 1
        self.catalogue.apply(
            objects.ObjectVersion(kind, name, self.revision, value),
            NOW - OBJECT_AGE,
        )

    def put_contract(self, customer, priority, replicas, split=None, size=4):
        """Store a contract for one model, and its allocation if any.

        Parameters
        ----------
        customer : str
            Name of the contract.
        priority : int
            Priority of the contract.
        replicas : int
            Replicas promised (count).
        split : dict of str to int, optional
            Data centre -> replicas allocated (count); no allocation is
            stored without it.
        size : int
            VMs in a group (count).
        """
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

    def put_group(self, name, contract, vms, **changes):
        """Store a ready group, its claims, and reports of ready engines.

        Parameters
        ----------
        name : str
            Name of the group.
        contract : str
            Contract that the group serves.
        vms : list of str
            VMs of the members, in rank order.
        **changes
            Fields of the group record that differ.
        """
        state = objects.GroupState.READY
        first_row = self.listed[vms[0]]
        members = tuple(objects.Member(v, self.listed[v].address) for v in vms)
        fields = {
            'data_centre': first_row.data_centre,
            'fabric_domain': first_row.fabric_domain,
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
            self.record_observation(
                vm,
                state=ports.EngineState.READY,
                group=name,
                generation=fields['generation'],
                model='m',
                version='v1',
                cached=('m@v1',),
            )

    def view(self, seed=0):
        """Return the input of a control round, with a seeded random source.

        Parameters
        ----------
        seed : int
            Seed of the random source.
        """
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

    def plan_group_writes(self, data_centre='a', seed=0):
        """Plan one round; return the group records that it writes, by name.

        Parameters
        ----------
        data_centre : str
            Name of the data centre.
        seed : int
            Seed of the random source.

        Returns
        -------
        dict of str to balsamwind.objects.Group
        """
        decisions = control.plan_groups(self.view(seed), data_centre, 1)
        return {
            decision.name: decision.value
            for decision in decisions
            if isinstance(decision, control.PutObject)
            and decision.kind == 'group'
        }

    def plan_allocation_writes(self):
        """Plan one round; return the allocations it writes, by contract."""
        decisions = control.plan_allocations(self.view(), 1)
        return {decision.name: decision.value for decision in decisions}
