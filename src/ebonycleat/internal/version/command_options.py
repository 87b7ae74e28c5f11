"""Options of teams and routes in the operators' language."""

import dataclasses
import math
import types
from typing import Any, Final

from lark import Token, Transformer

from ebonycleat.internal.request.call import Priority
from ebonycleat.internal.version.command_syntax_error import format_suggestion

ChildNodes = list[Any]

_SETTING: Final = types.MappingProxyType({
    'burst': 'burst',
    'methods': 'methods',
    'path': 'path_prefix',
    'priority': 'priority',
    'rate': 'rate_per_s',
    'to': 'service',
    'zones': 'zone_weights',
})


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedOption:
    """One named value of a definition and the word that named it."""

    name: str
    value: Any
    keyword: Token


class InvalidWord(Exception):
    """A word that has no sense in its place."""

    def __init__(self, token: Token, detail: str) -> None:
        """Remember the word."""
        super().__init__(detail)
        self.token = token
        self.detail = detail


def _name_list(words: list[str]) -> str:
    return ', '.join(words)


def require_known_word(token: Token, words: list[str], label: str) -> str:
    """Return the word in small letters if it is one of the words."""
    word = str(token).lower()
    if word in words:
        return word
    raise InvalidWord(
        token,
        f'no {label} {word:.60}, expected one of {_name_list(words)}'
        f'{format_suggestion(word, words)}',
    )


def collect_options(options: ChildNodes) -> dict[str, Any]:
    """Return the options by name; each may be given once."""
    settings: dict[str, Any] = {}
    for option in options:
        if option.name in settings:
            raise InvalidWord(
                option.keyword, f'{option.keyword} is given twice'
            )
        settings[option.name] = option.value
    return settings


def require_options(
    name: Token, settings: dict[str, Any], needed: list[str]
) -> None:
    """Check that a definition is complete."""
    missing = [word for word in needed if _SETTING[word] not in settings]
    if missing:
        raise InvalidWord(
            name,
            f'{name} also needs: {_name_list(missing)}',
        )


class OptionBuilder(Transformer[Token, Any]):
    """Builds the options of teams and routes."""

    def rate(self, words: ChildNodes) -> ParsedOption:
        return ParsedOption('rate_per_s', _number(words[1]), words[0])

    def burst(self, words: ChildNodes) -> ParsedOption:
        return ParsedOption('burst', _number(words[1]), words[0])

    def zones(self, words: ChildNodes) -> ParsedOption:
        return ParsedOption('zone_weights', tuple(words[1:]), words[0])

    def zone(self, words: ChildNodes) -> tuple[str, float]:
        weight = _number(words[1]) if len(words) > 1 else 1.0
        return str(words[0]), weight

    def service(self, words: ChildNodes) -> ParsedOption:
        return ParsedOption('service', str(words[1]), words[0])

    def methods(self, words: ChildNodes) -> ParsedOption:
        methods = tuple(word.upper() for word in words[1:])
        return ParsedOption('methods', methods, words[0])

    def path(self, words: ChildNodes) -> ParsedOption:
        return ParsedOption('path_prefix', str(words[1]), words[0])

    def priority(self, words: ChildNodes) -> ParsedOption:
        names = [priority.name.lower() for priority in Priority]
        chosen = require_known_word(words[1], names, 'priority')
        return ParsedOption('priority', Priority[chosen.upper()], words[0])

    def retries(self, words: ChildNodes) -> ParsedOption:
        return ParsedOption('retry_limit', int(words[1]), words[0])

    def timeout(self, words: ChildNodes) -> ParsedOption:
        return ParsedOption('timeout_ms', int(words[1]), words[0])

    def idempotent(self, words: ChildNodes) -> ParsedOption:
        return ParsedOption('idempotent', len(words) == 1, words[-1])

    def open_to_all(self, words: ChildNodes) -> ParsedOption:
        return ParsedOption('open_to_all', len(words) == 1, words[-1])


def _number(token: Token) -> float:
    number = float(token)
    if math.isfinite(number):
        return number
    raise InvalidWord(token, 'the number is too large')
