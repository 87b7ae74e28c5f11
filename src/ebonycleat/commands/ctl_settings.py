"""Settings of ``ebonycleat-ctl`` and where the operator's key comes from.

The key is never an argument, because other users of a machine can read the
arguments of a process, and shells keep them in their history.
"""

import dataclasses
import pathlib
import string
from collections.abc import Mapping
from typing import Annotated, Final, TypeAlias

from msgspec import Meta

from ebonycleat.internal.process.settings import PeerAddress, Seconds
from ebonycleat.internal.process.settings_file import (
    SettingsProblem,
    InvalidSettings,
)

_KEY_SIGNS: Final = frozenset(
    string.ascii_letters + string.digits + string.punctuation,
)

NonEmptyText: TypeAlias = Annotated[
    str,
    Meta(min_length=1, description='a text of at least one character'),
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CtlSettings:
    """The settings file: nodes to ask, and one source of the key."""

    nodes: tuple[PeerAddress, ...]
    key_file: NonEmptyText | None = None
    key_environment: NonEmptyText | None = None
    connect_timeout_s: Seconds = 1

    def __post_init__(self) -> None:
        """Ask for exactly one source of the key."""
        if not self.nodes:
            raise ValueError('nodes with at least one IP:port')
        if (self.key_file is None) == (self.key_environment is None):
            raise ValueError(
                'one of key_file (path of a file) and key_environment '
                '(name of an environment variable)',
            )


def read_operator_key(
    settings: CtlSettings,
    environment: Mapping[str, str],
    file_name: str,
) -> str:
    """Read the key from its source; raises ``WrongSettings``."""
    if settings.key_file is None:
        label = 'key_environment'
        key = environment.get(settings.key_environment or '', '')
    else:
        label = 'key_file'
        try:
            key = pathlib.Path(settings.key_file).read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            problem = SettingsProblem(label, str(error), 'a readable file')
            raise InvalidSettings(file_name, (problem,)) from error
    key = key.strip()
    if key and _KEY_SIGNS.issuperset(key):
        return key
    found = 'a key with other signs' if key else 'no key there'
    problem = SettingsProblem(
        label,
        found,
        'a source of a key of letters, digits and punctuation',
    )
    raise InvalidSettings(file_name, (problem,))
