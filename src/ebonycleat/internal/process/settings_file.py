"""Reads a TOML settings file and reports every mistake in it at once.

msgspec stops at the first wrong value. Whoever corrects a file wants the
whole list, so each key is converted on its own and its problems are kept.
"""

import dataclasses
import enum
import pathlib
import types
from collections.abc import Callable, Iterator, Mapping
from typing import (
    Any,
    Literal,
    TypeVar,
    Union,
    cast,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec

SettingsT = TypeVar('SettingsT')

FOUND_LENGTH = 60


@dataclasses.dataclass(frozen=True, slots=True)
class ValueCheck:
    """A rule for one value beyond what ``msgspec.Meta`` can say."""

    is_allowed: Callable[[Any], bool]
    allowed: str


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsProblem:
    """One wrong, unknown or missing key."""

    key_path: str
    found: str
    allowed: str

    def describe(self) -> str:
        """One line for the person who corrects the file."""
        return f'{self.key_path}: found {self.found}, allowed: {self.allowed}'


class FileFormat(enum.Enum):
    """Formats of settings files.

    JSON files are written by a platform that may add keys at any time, so
    keys that are not known are passed over there; in TOML files, which
    people write, they are mistakes.
    """

    TOML = 'TOML'
    JSON = 'JSON'

    def decode(self, text: str) -> Any:
        """Decode text; raises ``msgspec.DecodeError``."""
        if self is FileFormat.JSON:
            return msgspec.json.decode(text)
        return msgspec.toml.decode(text)


class InvalidSettings(Exception):
    """A settings file that cannot be used, with all its problems."""

    def __init__(
        self,
        file_name: str,
        problems: tuple[SettingsProblem, ...],
    ) -> None:
        """Remember the file and everything that is wrong with it."""
        lines = (f'{file_name}: {found.describe()}' for found in problems)
        super().__init__('\n'.join(lines))
        self.file_name = file_name
        self.problems = problems


def load_settings(
    path: pathlib.Path,
    settings_class: type[SettingsT],
    file_format: FileFormat = FileFormat.TOML,
) -> SettingsT:
    """Read one file; raises ``WrongSettings`` also if it cannot be read."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError, ValueError) as error:
        raise InvalidSettings(
            str(path),
            (
                SettingsProblem(
                    '(file)',
                    str(error),
                    f'a readable {file_format.value} file',
                ),
            ),
        ) from error
    return parse_settings(text, str(path), settings_class, file_format)


def parse_settings(
    text: str,
    file_name: str,
    settings_class: type[SettingsT],
    file_format: FileFormat = FileFormat.TOML,
) -> SettingsT:
    """Convert text; raises ``WrongSettings`` with every problem."""
    try:
        tree = file_format.decode(text)
    except (msgspec.DecodeError, RecursionError) as error:
        problem = SettingsProblem(
            '(file)', str(error), f'valid {file_format.value}'
        )
        raise InvalidSettings(file_name, (problem,)) from error
    if not isinstance(tree, dict):
        problem = SettingsProblem('(file)', _shorten(tree), 'a table')
        raise InvalidSettings(file_name, (problem,))
    reader = _Reader(accepts_unknown=file_format is FileFormat.JSON)
    settings = reader.read_table(tree, settings_class, '')
    if reader.problems:
        raise InvalidSettings(file_name, tuple(reader.problems))
    return cast(SettingsT, settings)


class _Reader:
    """Walks the tables of one file and collects problems."""

    def __init__(self, *, accepts_unknown: bool) -> None:
        self.problems: list[SettingsProblem] = []
        self.accepts_unknown = accepts_unknown

    def read_table(
        self,
        table: Mapping[str, Any],
        table_class: type,
        path: str,
    ) -> Any:
        """Build ``table_class``; the result is unusable after a problem."""
        hints = get_type_hints(table_class, include_extras=True)
        fields = dataclasses.fields(table_class)
        self._report_unknown(table, sorted(map(_key_of, fields)), path)
        known: dict[str, Any] = {}
        problems_before = len(self.problems)
        for field in fields:
            key_path = f'{path}{_key_of(field)}'
            hint = hints[field.name]
            found = table.get(_key_of(field))  # null counts as absent
            if found is not None:
                known[field.name] = self._read_key(found, hint, key_path)
            elif _is_required(field):
                allowed = f'{_describe(hint)} (required)'
                self._report(key_path, 'nothing', allowed)
        if len(self.problems) > problems_before:
            return None
        return self._build(table_class, known, path)

    def _build(
        self,
        table_class: type,
        known: Mapping[str, Any],
        path: str,
    ) -> Any:
        try:
            return table_class(**known)
        except ValueError as error:
            self._report(path.rstrip('.') or '(file)', 'a conflict', str(error))
        return None

    def _read_key(self, found: Any, hint: Any, path: str) -> Any:
        hint = _without_none(hint)
        if dataclasses.is_dataclass(hint):
            if isinstance(found, dict):
                return self.read_table(
                    found,
                    cast(type, hint),
                    f'{path}.',
                )
            return self._report(path, _shorten(found), 'a table')
        if get_origin(hint) is tuple and isinstance(found, list):
            element = get_args(hint)[0]
            return tuple(
                self._read_key(entry, element, f'{path}[{index}]')
                for index, entry in enumerate(found)
            )
        return self._convert(found, hint, path)

    def _convert(self, found: Any, hint: Any, path: str) -> Any:
        try:
            converted = msgspec.convert(found, hint)
        except (msgspec.ValidationError, RecursionError):
            return self._report(path, _shorten(found), _describe(hint))
        for check in _checks_of(hint):
            if not check.is_allowed(converted):
                return self._report(path, _shorten(found), check.allowed)
        return converted

    def _report_unknown(
        self,
        table: Mapping[str, Any],
        known: list[str],
        path: str,
    ) -> None:
        if self.accepts_unknown:
            return
        for name in table:
            if name not in known:
                names = ', '.join(known)
                self._report(f'{path}{name}', 'an unknown key', names)

    def _report(self, path: str, found: str, allowed: str) -> None:
        self.problems.append(SettingsProblem(path, found, allowed))


def _key_of(field: dataclasses.Field[Any]) -> str:
    """Name of a field's key in the file, where it is not the field's."""
    return str(field.metadata.get('key', field.name))


def _is_required(field: dataclasses.Field[Any]) -> bool:
    return (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )


def _without_none(hint: Any) -> Any:
    if get_origin(hint) not in {types.UnionType, Union}:
        return hint
    kinds = [kind for kind in get_args(hint) if kind is not types.NoneType]
    return kinds[0] if len(kinds) == 1 else hint


def _checks_of(hint: Any) -> Iterator[ValueCheck]:
    for extra in getattr(hint, '__metadata__', ()):
        if isinstance(extra, ValueCheck):
            yield extra


def _describe(hint: Any) -> str:
    for extra in getattr(hint, '__metadata__', ()):
        if isinstance(extra, ValueCheck):
            return extra.allowed
        if isinstance(extra, msgspec.Meta) and extra.description:
            return extra.description
    if dataclasses.is_dataclass(hint):
        return 'a table'
    if get_origin(hint) is tuple:
        return f'a list of: {_describe(get_args(hint)[0])}'
    if get_origin(hint) is Literal:
        return ', '.join(str(choice) for choice in get_args(hint))
    return getattr(hint, '__name__', str(hint))


def _shorten(found: Any) -> str:
    text = repr(found)
    if len(text) > FOUND_LENGTH:
        return f'{text[:FOUND_LENGTH]}...'
    return text
