"""Choose a replica group inside another program, without the daemon.

The router chooses among the groups whose members are all up. When a member is
observed to be down, its group is no longer a candidate.
"""

from balsamwind import catalogue
from balsamwind import membership
from balsamwind import objects
from balsamwind import ports
from balsamwind import routing


def make_group(name):
    """Make a ready replica group of two VMs.

    Parameters
    ----------
    name : str
        Name of the group and prefix of its VMs' names.

    Returns
    -------
    balsamwind.objects.Group
        The group.
    """
    members = tuple(
        objects.Member(f'{name}-{rank}', f'127.0.0.1:{9000 + rank}')
        for rank in range(2)
    )
    return objects.Group(
        name=name,
        contract='rotagzeli',
        model='rota-model',
        version='v1',
        data_centre='tbilisi-a',
        fabric_domain='rack-1',
        members=members,
        generation=1,
        state=objects.GroupState.READY,
    )


def make_report(group, vm):
    """Make an engine report that matches a group.

    Parameters
    ----------
    group : balsamwind.objects.Group
        Group to which the engine belongs.
    vm : str
        Name of the engine's VM.

    Returns
    -------
    balsamwind.ports.EngineReport
        The report.
    """
    return ports.EngineReport(
        vm=vm,
        state=ports.EngineState.READY,
        group=group.name,
        generation=group.generation,
        model=group.model,
        version=group.version,
    )


def main():
    """Run the example.

    Returns
    -------
    before : list of str
        Names of the serving groups before a member fails.
    after : list of str
        Names of the serving groups after a member has failed.
    """
    stored_objects = catalogue.ObjectCache()
    observations = membership.Observations(stale_after=3.0)
    group_table = membership.GroupTable(stored_objects, observations)
    for revision, name in enumerate(('blue', 'green'), 1):
        group = make_group(name)
        stored_objects.apply(
            objects.ObjectVersion('group', name, revision, group), now=0.0
        )
        for vm in group.vms:
            observations.update(
                vm, True, make_report(group, vm), 'me', now=0.0
            )

    before = group_table.find_serving_groups(
        'rotagzeli', 'rota-model', now=0.5
    )
    router = routing.make_router(
        'tbilisi-a', get_load_report=lambda group: None, random_state=7
    )
    choice = router.choose(before, blocks=(), now=0.5)
    print('serving groups:', [group.name for group in before])
    print('chosen group:', choice.group.name)

    observations.update('blue-1', False, None, 'me', now=1.0)
    after = group_table.find_serving_groups('rotagzeli', 'rota-model', now=1.0)
    print('serving groups after a member failed:', [g.name for g in after])
    return [g.name for g in before], [g.name for g in after]


if __name__ == '__main__':
    main()
