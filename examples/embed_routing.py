"""Choose a replica group inside another program, without the daemon.

Shows: groups that hold every member, and the choice among them. A member is
then seen to be down, and its group is no longer offered.
"""

from balsamwind import catalogue
from balsamwind import membership
from balsamwind import objects
from balsamwind import ports
from balsamwind import routing


def make_group(name):
    """A ready group of two VMs."""
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
    """A report that fits the group."""
    return ports.EngineReport(
        vm=vm,
        state=ports.EngineState.READY,
        group=group.name,
        generation=group.generation,
        model=group.model,
        version=group.version,
    )


def main():
    """Run the example; the groups offered before and after the failure."""
    known = catalogue.Catalogue()
    seen = membership.Observations(stale_after=3.0)
    table = membership.GroupTable(known, seen)
    for revision, name in enumerate(('blue', 'green'), 1):
        group = make_group(name)
        known.apply(objects.Stored('group', name, revision, group), now=0.0)
        for vm in group.vms:
            seen.update(vm, True, make_report(group, vm), 'me', now=0.0)

    before = table.serving('rotagzeli', 'rota-model', now=0.5)
    router = routing.make_router(
        'tbilisi-a', load_report=lambda group: None, random_state=7
    )
    choice = router.choose(before, blocks=(), now=0.5)
    print('offered:', [group.name for group in before])
    print('chosen:', choice.group.name)

    seen.update('blue-1', False, None, 'me', now=1.0)
    after = table.serving('rotagzeli', 'rota-model', now=1.0)
    print('offered after a member is lost:', [g.name for g in after])
    return [g.name for g in before], [g.name for g in after]


if __name__ == '__main__':
    main()
