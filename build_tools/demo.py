"""End-to-end demonstration with real processes on the local machine."""

import json
import sys

from build_tools import callers
from build_tools import cluster as cluster_module
from build_tools import conditions

ROTA_QUESTION = 'ვისი რიგია შემდეგ თვეში, თუ ნინომ და გიორგიმ უკვე მიიღეს?'
BED_QUESTION = 'Къде има свободно легло тази нощ за двама души в Пловдив?'


class StepRunner:
    """Runner that prints the result of each step and counts failures.

    Attributes
    ----------
    passed, failed : int
        Number of steps that have passed and that have failed.
    """

    def __init__(self):
        self.passed = 0
        self.failed = 0

    def run(self, description, step):
        """Run a step; an exception counts as its failure.

        Parameters
        ----------
        description : str
            What the step does.
        step : callable
            Function without parameters that returns a description of the
            result as a string.
        """
        try:
            result = step()
        except Exception as error:
            self.failed += 1
            print(f'FAILED  {description}: {type(error).__name__}: {error}')
        else:
            self.passed += 1
            print(f'ok      {description}: {result}')
        sys.stdout.flush()


class Demo:
    """Steps of the demonstration.

    Each step returns a description of its result and raises an exception if
    the result is wrong.

    Parameters
    ----------
    cluster : Cluster
        Running cluster with six entries.
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._names = list(cluster.entries)

    def wait_until_up(self):
        """Wait until all six entries answer and see each other alive."""

        def all_alive():
            states = [self._cluster.get_status(name) for name in self._names]
            return all(
                state and sum(node['alive'] for node in state['nodes']) == 6
                for state in states
            )

        conditions.wait_for(all_alive, 'six entries see each other alive')
        return 'six entries, each sees the other five'

    def apply_contract(self):
        """Apply a contract and wait until it is in force at every entry."""
        return self._cluster.apply_contract(callers.make_contract())

    def wait_for_groups(self):
        """Wait until every entry sees three serving groups."""
        self._cluster.wait_until_serving(3)
        groups = self._cluster.get_serving_groups(self._names[0])
        data_centres = sorted(group['data_centre'] for group in groups)
        return f'3 groups of 2 VMs serve, in {", ".join(data_centres)}'

    def ask(self, entry, question):
        """Check that a streamed completion is complete and in order.

        Parameters
        ----------
        entry : str
            Name of the entry that is asked.
        question : str
            Prompt of the completion.
        """
        stream = callers.StreamingCaller(self._cluster, entry, question, 12)
        stream.start()
        stream.join(30)
        words = question.split()
        expected = [f'{words[i % len(words)]} ' for i in range(12)]
        if stream.tokens != expected or not stream.done:
            raise AssertionError(
                f'wrong completion: got {stream.tokens}, error {stream.error}'
            )
        return f'12 tokens, complete: {"".join(stream.tokens)[:48]}...'

    def pay(self):
        """Check that a payout retried at another entry takes effect once."""
        body = {'circle': 'varketili', 'member': 'ნინო', 'amount': 250}
        answers = [
            self._cluster.send_request(
                name,
                '/services/circle-ledger/payouts',
                body,
                callers.KEY,
                {'Idempotency-Key': 'payout-2026-12'},
            )
            for name in (self._names[0], self._names[3])
        ]
        effects = self._cluster.get_effects()
        if len(effects) != 1 or answers[0][2] != answers[1][2]:
            raise AssertionError(
                f'payout not applied once: answers {answers},'
                f' effects {effects}'
            )
        return f'sent twice, 1 effect, both answered {answers[1][2].decode()}'

    def read_balance(self):
        """Check that the balance shows the payout."""
        status, _, body = self._cluster.send_request(
            self._names[0],
            '/services/circle-ledger/balance/varketili',
            key=callers.KEY,
        )
        if status != 200 or json.loads(body)['balance'] != 250:
            raise AssertionError(
                f'wrong balance: status {status}, body {body}'
            )
        return body.decode()

    def kill_member(self):
        """Check that a group that loses a VM stops serving and is repaired."""
        group = self._cluster.get_serving_groups(self._names[0])[0]
        victim = group['members'][1]
        self._cluster.inject_fault(victim, 'kill')

        def is_stopped():
            return all(
                not any(
                    g['name'] == group['name']
                    and g['generation'] == group['generation']
                    for g in self._cluster.get_serving_groups(name)
                )
                for name in self._names
            )

        conditions.wait_for(
            is_stopped, 'the group does not serve at any entry'
        )
        self._cluster.wait_until_serving(3)
        repaired = next(
            g
            for g in self._cluster.get_serving_groups(self._names[0])
            if g['data_centre'] == group['data_centre']
        )
        return (
            f'{victim} killed; group out of service at all six entries, then'
            f' generation {repaired["generation"]} with {repaired["members"]}'
        )

    def end_contract(self):
        """Check that a stream in flight finishes after its contract ends."""
        stream = callers.StreamingCaller(
            self._cluster, self._names[2], ROTA_QUESTION, 150
        )
        stream.start()
        conditions.wait_for(lambda: stream.tokens, 'the first token')
        completed = self._cluster.run_command('contract', 'end', 'rotagzeli')
        if completed.returncode:
            raise AssertionError(completed.stderr)

        def is_refused():
            status, _, _ = self._cluster.send_request(
                self._names[2], '/v1/models', key=callers.KEY
            )
            return status == 403

        conditions.wait_for(is_refused, 'new requests are refused')
        in_flight = stream.is_alive()
        stream.join(30)
        if not stream.done or len(stream.tokens) != 150:
            raise AssertionError(
                f'stream incomplete: got {len(stream.tokens)} of 150 tokens,'
                f' error {stream.error}'
            )
        conditions.wait_for(
            lambda: not any(self._cluster.get_groups(n) for n in self._names),
            'all groups are closed',
        )
        return (
            'new requests refused'
            f' {"while the stream ran" if in_flight else "after the stream"},'
            ' stream complete with 150 tokens, all VMs released'
        )


def main():
    """Run the demonstration.

    Returns
    -------
    int
        Exit code; 1 if a step failed.
    """
    steps = StepRunner()
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
                print(f'--- log of {name}\n{cluster.read_log(name)[-3000:]}')
    print(f'demo: {steps.passed} passed, {steps.failed} failed')
    return 1 if steps.failed else 0


if __name__ == '__main__':
    sys.exit(main())
