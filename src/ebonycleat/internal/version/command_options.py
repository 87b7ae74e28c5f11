"""Parses the options of teams and routes in the operators' language.

An option is a keyword with a value, such as ``rate 5`` or ``to SERVICE``.
"""

import dataclasses
import math
import types
from typing import Any, Final

from lark import Token, Transformer

from ebonycleat.internal.request.call import Priority
from ebonycleat.internal.version.command_syntax_error import format_suggestion

ChildNodes = list[Any]

# Field of the log record that each option sets, by the keyword of the option;
# only for options that a definition may require.
_FIELD_BY_KEYWORD: Final = types.MappingProxyType({
    'burst': 'burst',
    'methods': 'methods',
    'path': 'path_prefix',
    'priority': 'priority',
    'rate': 'rate_per_s',
    'to': 'service',
    'zones': 'zone_weights',
})


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """A parsed option.

    ``field_name`` is the field of the log record that gets the value,
    ``keyword`` the word that introduced the option in the text.
    """

    field_name: str
    value: Any
    keyword: Token


class InvalidWord(Exception):
    """A word that the grammar allows but that is not valid in its place."""

    def __init__(self, token: Token, detail: str) -> None:
        """Store the word, at which the message points, and its error."""
        super().__init__(detail)
        self.token = token
        self.detail = detail


def _join_words(words: list[str]) -> str:
    return ', '.join(words)


def require_known_word(token: Token, words: list[str], label: str) -> str:
    """Return the word in lower case; raises ``InvalidWord`` if unknown.

    ``label`` is the kind of word, such as "topic", for the error message.
    """
    word = str(token).lower()
    if word in words:
        return word
    raise InvalidWord(
        token,
        f'unknown {label} {word:.60}, expected one of {_join_words(words)}'
        f'{format_suggestion(word, words)}',
    )


def collect_options(options: ChildNodes) -> dict[str, Any]:
    """Return the values of the options by field name.

    Raises ``InvalidWord`` if an option is given twice.
    """
    value_by_field: dict[str, Any] = {}
    for option in options:
        if option.field_name in value_by_field:
            raise InvalidWord(
                option.keyword, f'{option.keyword} is given twice'
            )
        value_by_field[option.field_name] = option.value
    return value_by_field


def require_options(
    name: Token, value_by_field: dict[str, Any], needed: list[str]
) -> None:
    """Check that a definition has all ``needed`` options.

    Raises ``InvalidWord``, which points at the name of the team or route.
    """
    missing = [
        word for word in needed if _FIELD_BY_KEYWORD[word] not in value_by_field
    ]
    if missing:
        raise InvalidWord(
            name,
            f'{name} also needs: {_join_words(missing)}',
        )


class OptionBuilder(Transformer[Token, Any]):
    """Converts the parsed options of teams and routes.

    The methods have the names of rules in ``grammar.lark``.
    """

    def rate(self, words: ChildNodes) -> Option:
        return Option('rate_per_s', _parse_number(words[1]), words[0])

    def burst(self, words: ChildNodes) -> Option:
        return Option('burst', _parse_number(words[1]), words[0])

    def zones(self, words: ChildNodes) -> Option:
        return Option('zone_weights', tuple(words[1:]), words[0])

    def zone(self, words: ChildNodes) -> tuple[str, float]:
        weight = _parse_number(words[1]) if len(words) > 1 else 1.0
        return str(words[0]), weight

    def service(self, words: ChildNodes) -> Option:
        return Option('service', str(words[1]), words[0])

    def methods(self, words: ChildNodes) -> Option:
        methods = tuple(word.upper() for word in words[1:])
        return Option('methods', methods, words[0])

    def path(self, words: ChildNodes) -> Option:
        return Option('path_prefix', str(words[1]), words[0])

    def priority(self, words: ChildNodes) -> Option:
        names = [priority.name.lower() for priority in Priority]
        priority_name = require_known_word(words[1], names, 'priority')
        return Option('priority', Priority[priority_name.upper()], words[0])

    def retries(self, words: ChildNodes) -> Option:
        return Option('retry_limit', int(words[1]), words[0])

    def timeout(self, words: ChildNodes) -> Option:
        return Option('timeout_ms', int(words[1]), words[0])

    def idempotent(self, words: ChildNodes) -> Option:
        return Option('idempotent', len(words) == 1, words[-1])

    def open_to_all(self, words: ChildNodes) -> Option:
        return Option('open_to_all', len(words) == 1, words[-1])


def _parse_number(token: Token) -> float:
    number = float(token)
    if math.isfinite(number):
        return number
    raise InvalidWord(token, 'the number is too large')
