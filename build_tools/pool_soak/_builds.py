"""Builds of the nodes of a soak test, and the roles that each has had."""

import contextlib
import json
import pathlib
import subprocess
import tempfile

OLD = 'old'
NEW = 'new'

ROLES = ('leader', 'publisher', 'placing node')
"""Roles that a node of each build must have had."""


@contextlib.contextmanager
def extract_build(repository, commit):
    """Extract the files of a commit for the duration of a ``with`` block.

    Parameters
    ----------
    repository : pathlib.Path
        Work tree whose history holds the commit.
    commit : str
        The commit.

    Yields
    ------
    pathlib.Path
        Temporary directory with the files.
    """
    with tempfile.TemporaryDirectory(prefix='old-build-') as folder:
        archive = pathlib.Path(folder) / 'build.tar'
        root = pathlib.Path(folder) / 'root'
        root.mkdir()
        subprocess.run(
            ['git', 'archive', f'--output={archive}', commit],
            cwd=repository,
            check=True,
        )
        subprocess.run(['tar', '-xf', archive, '-C', root], check=True)
        yield root


class RoleObserver:
    """Observer of the roles of the nodes in their logs.

    A node counts as publisher while another one is subscribed to it, and as
    placing node if the subscriber served a stream meanwhile.

    Parameters
    ----------
    nodes : list of Node
        All nodes.

    Attributes
    ----------
    roles : set of (str, str)
        Build and role of each occurrence.
    links : set of (str, str)
        Builds of subscriber and publisher of each subscription.
    misfits : list of str
        Log lines about frames that a node could not read.
    """

    def __init__(self, nodes):
        self._nodes = nodes
        self._by_host = {node.host: node for node in nodes}
        self._positions = dict.fromkeys((node.name for node in nodes), 0)
        self._sources = {}
        self._subscriptions = {}
        self.roles = set()
        self.links = set()
        self.misfits = []

    def find_faults(self):
        """Return what has not occurred or must not occur, as a list of str."""
        return [
            *(
                f'no {role} of the {build} build'
                for build in (OLD, NEW)
                for role in ROLES
                if (build, role) not in self.roles
            ),
            *(
                f'no {subscriber} subscriber of a publisher of the {publisher}'
                ' build'
                for subscriber, publisher in ((OLD, NEW), (NEW, OLD))
                if (subscriber, publisher) not in self.links
            ),
            *self.misfits,
        ]

    def observe(self):
        """Read what the nodes have logged since the last call."""
        for node in self._nodes:
            self._read_log(node)
        previous, self._subscriptions = self._subscriptions, {}
        for node in self._nodes:
            source = self._sources.get(node.name)
            if source is None:
                continue
            starts = (node.start_count, source.name, source.start_count)
            # One seen twice did not end with a process in between.
            if previous.get(node.name) == starts:
                self.roles.add((source.build, 'publisher'))
                self.links.add((node.build, source.build))
            self._subscriptions[node.name] = starts

    def _read_log(self, node):
        if not node.log_path.exists():
            return
        with open(node.log_path, 'rb') as log:
            log.seek(self._positions[node.name])
            for line in log:
                if not line.endswith(b'\n'):
                    break
                self._positions[node.name] += len(line)
                with contextlib.suppress(ValueError):
                    self._handle_event(node, json.loads(line))

    def _handle_event(self, node, event):
        self._check_frames(node, event)
        match event:
            case {'event': 'build_started'}:
                self._sources.pop(node.name, None)
            case {'event': 'lease_taken'}:
                self.roles.add((node.build, 'leader'))
            case {'event': 'news_heard', 'source': source}:
                host = source.rpartition(':')[0]
                self._sources[node.name] = self._by_host.get(host)
            case {'event': 'news_lost'}:
                self._sources.pop(node.name, None)

    def _check_frames(self, node, event):
        """Check that a node has read all frames, whatever build sent them."""
        name = event.get('event')
        is_unread = name in ('news_malformed', 'message_unknown')
        if is_unread or 'malformed frame' in str(event.get('reason')):
            self.misfits.append(f'{node.name} ({node.build}): {event}')

    def record_call(self, call):
        """Record a request that has ended.

        Parameters
        ----------
        call : Call
            The request with its answer.
        """
        source = self._sources.get(call.node.name)
        seen = self._subscriptions.get(call.node.name)
        if source is None or not call.kind.stream or call.outcome != 'whole':
            return
        if seen == (call.node.start_count, source.name, source.start_count):
            self.roles.add((source.build, 'placing node'))
