"""The main job, end to end, with real processes on this machine."""

import json
import sys

from build_tools import callers
from build_tools import cluster as cluster_module
from build_tools import conditions

ROTA_QUESTION = 'ვისი რიგია შემდეგ თვეში, თუ ნინომ და გიორგიმ უკვე მიიღეს?'
BED_QUESTION = 'Къде има свободно легло тази нощ за двама души в Пловдив?'


class Steps:
    """Prints one line for each step and counts the outcomes."""

    def __init__(self):
        self.passed = 0
        self.failed = 0

    def run(self, asked, step):
        """Run a step; it returns what was seen or raises."""
        try:
            seen = step()
        except Exception as error:
            self.failed += 1
            print(f'FAILED  {asked}: {type(error).__name__}: {error}')
        else:
            self.passed += 1
            print(f'ok      {asked}: {seen}')
        sys.stdout.flush()


class Demo:
    """Steps of the demonstration."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._names = list(cluster.entries)

    def wait_until_up(self):
        """All six entries answer and see each other."""

        def all_see_all():
            states = [self._cluster.status(name) for name in self._names]
            return all(
                state and sum(node['alive'] for node in state['nodes']) == 6
                for state in states
            )

        conditions.wait_for(all_see_all, 'six entries see each other')
        return 'six entries, each sees the other five'

    def apply_contract(self):
        """The contract is written and in force everywhere."""
        return self._cluster.apply(callers.make_contract())

    def wait_for_groups(self):
        """Three groups serve, as every entry sees it."""
        self._cluster.wait_until_serving(3)
        groups = self._cluster.serving(self._names[0])
        places = sorted(group['data_centre'] for group in groups)
        return f'3 groups of 2 VMs serve, in {", ".join(places)}'

    def ask(self, entry, question):
        """A streamed completion comes whole and in order."""
        stream = callers.Stream(self._cluster, entry, question, 12)
        stream.start()
        stream.join(30)
        words = question.split()
        wanted = [f'{words[i % len(words)]} ' for i in range(12)]
        if stream.tokens != wanted or not stream.done:
            raise AssertionError(f'{stream.tokens} {stream.error}')
        return f'12 tokens, whole: {"".join(stream.tokens)[:48]}...'

    def pay(self):
        """A payout repeated through another entry takes effect once."""
        body = {'circle': 'varketili', 'member': 'ნინო', 'amount': 250}
        answers = [
            self._cluster.request(
                name,
                '/services/circle-ledger/payouts',
                body,
                callers.KEY,
                {'Idempotency-Key': 'payout-2026-12'},
            )
            for name in (self._names[0], self._names[3])
        ]
        effects = self._cluster.effects()
        if len(effects) != 1 or answers[0][2] != answers[1][2]:
            raise AssertionError(f'{answers} {effects}')
        return f'sent twice, 1 effect, both answered {answers[1][2].decode()}'

    def read_balance(self):
        """A balance is read through a third entry."""
        status, _, body = self._cluster.request(
            self._names[0],
            '/services/circle-ledger/balance/varketili',
            key=callers.KEY,
        )
        if status != 200 or json.loads(body)['balance'] != 250:
            raise AssertionError(f'{status} {body}')
        return body.decode()

    def kill_member(self):
        """A group that loses a VM stops serving and is repaired."""
        group = self._cluster.serving(self._names[0])[0]
        victim = group['members'][1]
        self._cluster.fault(victim, 'kill')

        def stopped():
            return all(
                not any(
                    g['name'] == group['name']
                    and g['generation'] == group['generation']
                    for g in self._cluster.serving(name)
                )
                for name in self._names
            )

        conditions.wait_for(stopped, 'the group stops everywhere')
        self._cluster.wait_until_serving(3)
        now = next(
            g
            for g in self._cluster.serving(self._names[0])
            if g['data_centre'] == group['data_centre']
        )
        return (
            f'{victim} killed; group out of service at all six, then'
            f' generation {now["generation"]} with {now["members"]}'
        )

    def end_contract(self):
        """The contract ends; the stream in flight finishes."""
        stream = callers.Stream(
            self._cluster, self._names[2], ROTA_QUESTION, 150
        )
        stream.start()
        conditions.wait_for(lambda: stream.tokens, 'the first token')
        done = self._cluster.command('contract', 'end', 'rotagzeli')
        if done.returncode:
            raise AssertionError(done.stderr)

        def refused():
            status, _, _ = self._cluster.request(
                self._names[2], '/v1/models', key=callers.KEY
            )
            return status == 403

        conditions.wait_for(refused, 'new requests are refused')
        in_flight = stream.is_alive()
        stream.join(30)
        if not stream.done or len(stream.tokens) != 150:
            raise AssertionError(f'{len(stream.tokens)} {stream.error}')
        conditions.wait_for(
            lambda: not any(self._cluster.groups(n) for n in self._names),
            'all groups are gone',
        )
        return (
            'new requests refused'
            f' {"while the stream ran" if in_flight else "after the stream"},'
            ' stream whole with 150 tokens, all VMs released'
        )


def main():
    """Run the demonstration; the exit code."""
    steps = Steps()
    with cluster_module.open_cluster() as cluster:
        demo = Demo(cluster)
        names = list(cluster.entries)
        steps.run('start 6 entries in 3 data centres', demo.wait_until_up)
        steps.run('apply a contract for 3 replicas', demo.apply_contract)
        steps.run('wait for its replica groups', demo.wait_for_groups)
        steps.run(
            'ask a rota question in Georgian',
            lambda: demo.ask(names[0], ROTA_QUESTION),
        )
        steps.run(
            'ask a bed question in Bulgarian',
            lambda: demo.ask(names[4], BED_QUESTION),
        )
        steps.run('record a payout, twice, at two entries', demo.pay)
        steps.run('read a balance', demo.read_balance)
        steps.run('kill one VM of a group', demo.kill_member)
        steps.run('end the contract, stream in flight', demo.end_contract)
        if steps.failed:
            for name in names[:2]:
                print(f'--- log of {name}\n{cluster.log(name)[-3000:]}')
    print(f'demo: {steps.passed} passed, {steps.failed} failed')
    return 1 if steps.failed else 0


if __name__ == '__main__':
    sys.exit(main())
