"""Settings of ``ebonycleat-ctl``, and reading of the operator's key.

The key is never passed as an argument, because other users of a machine can
read the arguments of a process, and shells store them in their history.
"""

import dataclasses
import pathlib
import string
from collections.abc import Mapping
from typing import Annotated, Final, TypeAlias

from msgspec import Meta

from ebonycleat.internal.process.settings import PeerAddress, Seconds
from ebonycleat.internal.process.settings_file import (
    InvalidSettings,
    SettingsProblem,
)

_KEY_CHARACTERS: Final = frozenset(
    string.ascii_letters + string.digits + string.punctuation,
)

NonEmptyText: TypeAlias = Annotated[
    str,
    Meta(min_length=1, description='a text of at least one character'),
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CtlSettings:
    """The settings file.

    ``nodes`` are the addresses to which commands are sent, in this order until
    one answers. The key is read from a file or from an environment variable.
    """

    nodes: tuple[PeerAddress, ...]
    key_file: NonEmptyText | None = None
    key_environment: NonEmptyText | None = None
    connect_timeout_s: Seconds = 1

    def __post_init__(self) -> None:
        """Require at least one node and exactly one source of the key.

        The error texts state what is allowed; ``load_settings`` adds the rest
        of the message.
        """
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
    """Read the key from the configured source.

    Raises ``InvalidSettings`` if the source cannot be read or has no valid key.
    """
    if settings.key_file is None:
        setting = 'key_environment'
        key = environment.get(settings.key_environment or '', '')
    else:
        setting = 'key_file'
        try:
            key = pathlib.Path(settings.key_file).read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            problem = SettingsProblem(setting, str(error), 'a readable file')
            raise InvalidSettings(file_name, (problem,)) from error
    key = key.strip()
    if key and _KEY_CHARACTERS.issuperset(key):
        return key
    found = 'a key with other characters' if key else 'no key'
    problem = SettingsProblem(
        setting,
        found,
        'a key of ASCII letters, digits and punctuation',
    )
    raise InvalidSettings(file_name, (problem,))
