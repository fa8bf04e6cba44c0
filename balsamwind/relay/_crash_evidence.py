"""Evidence of crashes that nodes share."""

import dataclasses
import enum


class EndVerdict(enum.Enum):
    """What a server was found to do after an answer that was not finished.

    Attributes
    ----------
    ENDED
        It has ended, which is evidence.
    LISTENS
        It accepts connections.
    SILENT
        It neither accepts nor refuses them.
    REACHED
        It refuses connections of this node, but not those of others.
    NO_WITNESS
        It refuses connections of this node, which reaches no other server of
        the service, and too few other nodes could say more.
    """

    ENDED = 'ended'
    LISTENS = 'listens'
    SILENT = 'silent'
    REACHED = 'reached'
    NO_WITNESS = 'no_witness'

    @property
    def is_shown(self):
        """Whether it is shown that the server has ended."""
        return self is EndVerdict.ENDED

    @property
    def is_preliminary(self):
        """Whether the server may still end of what it was sent."""
        return self in (EndVerdict.LISTENS, EndVerdict.SILENT)

    @property
    def is_doubtful(self):
        """Whether the server may have ended although it is not shown."""
        return self in (EndVerdict.REACHED, EndVerdict.NO_WITNESS)


@dataclasses.dataclass(slots=True, frozen=True)
class CrashReport:
    """An engine crashed as it gave an answer.

    Parameters
    ----------
    crash : str
        Identifies the crash: the incarnation of the engine that ended.
    service : str
        Service of the engine.
    parts : tuple of str
        Prompt parts of the answer that other requests may share.
    duration : float
        Time from the beginning of the answer to the crash (seconds).
    age : float
        Time since the crash when the report is sent (seconds).
    data_centre : str
        Data centre of the node that saw it.
    """

    crash: str
    service: str
    parts: tuple[str, ...]
    duration: float
    age: float = 0.0
    data_centre: str = ''


@dataclasses.dataclass(slots=True, frozen=True)
class SoundPart:
    """A part was answered completely, so some crashes are not its.

    Parameters
    ----------
    service : str
        Service of the engine that answered.
    part : str
        Id of the part.
    crashes : tuple of str
        Crashes that it is cleared of.
    """

    service: str
    part: str
    crashes: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class AnswerWeight:
    """How much the answers of one node speak for a part at one crash.

    Parameters
    ----------
    service : str
        Service of the engines that answered.
    part : str
        Id of the part.
    crash : str
        The crash.
    node : str
        Name of the node.
    weight : int
        Weight of all its answers so far, see `SoundAnswers`.
    """

    service: str
    part: str
    crash: str
    node: str
    weight: int


@dataclasses.dataclass(slots=True, frozen=True)
class CrashEvidence:
    """What nodes tell each other of crashes.

    Parameters
    ----------
    reports : tuple of CrashReport
        Crashes, with the parts that may have caused them.
    sound : tuple of SoundPart
        Parts that are cleared.
    answers : tuple of AnswerWeight
        What speaks for parts that are not cleared, within a data centre.
    """

    reports: tuple[CrashReport, ...] = ()
    sound: tuple[SoundPart, ...] = ()
    answers: tuple[AnswerWeight, ...] = ()

    def __bool__(self):
        return bool(self.reports or self.sound or self.answers)


@dataclasses.dataclass(slots=True, frozen=True)
class QuarantineBegun:
    """A part is quarantined from now on, or for longer than before.

    Parameters
    ----------
    service : str
        Service of the engines that crashed.
    part : str
        Id of the part.
    crashes : tuple of str
        Crashes on record.
    time_left : float
        Time until requests with the part are sent again (seconds).
    """

    service: str
    part: str
    crashes: tuple[str, ...]
    time_left: float


@dataclasses.dataclass(slots=True, frozen=True)
class PartCleared:
    """A part that was quarantined is cleared of crashes.

    Parameters
    ----------
    service : str
        Service of the engines that crashed.
    part : str
        Id of the part.
    crashes : tuple of str
        Crashes that it is cleared of.
    by_answer : bool
        Whether answers that this node knows of show it; else another node
        says so.
    """

    service: str
    part: str
    crashes: tuple[str, ...]
    by_answer: bool
