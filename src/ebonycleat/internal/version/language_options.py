"""Options of teams and routes in the operators' language."""

import dataclasses
import math
import types
from typing import Any, Final

from lark import Token, Transformer

from ebonycleat.internal.request.call import Priority
from ebonycleat.internal.version.language_error import suggest

Children = list[Any]

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
class Option:
    """One named value of a definition and the word that named it."""

    name: str
    setting: Any
    at: Token


class WordError(Exception):
    """A word that has no sense in its place."""

    def __init__(self, token: Token, detail: str) -> None:
        """Remember the word."""
        super().__init__(detail)
        self.token = token
        self.detail = detail


def _name_list(words: list[str]) -> str:
    return ', '.join(words)


def choose_word(token: Token, words: list[str], label: str) -> str:
    """Return the word in small letters if it is one of the words."""
    word = str(token).lower()
    if word in words:
        return word
    raise WordError(
        token,
        f'no {label} {word:.60}, expected one of {_name_list(words)}'
        f'{suggest(word, words)}',
    )


def collect_settings(options: Children) -> dict[str, Any]:
    """Return the options by name; each may be given once."""
    settings: dict[str, Any] = {}
    for option in options:
        if option.name in settings:
            raise WordError(option.at, f'{option.at} is given twice')
        settings[option.name] = option.setting
    return settings


def require_options(
    name: Token, settings: dict[str, Any], needed: list[str]
) -> None:
    """Check that a definition is complete."""
    missing = [word for word in needed if _SETTING[word] not in settings]
    if missing:
        raise WordError(
            name,
            f'{name} also needs: {_name_list(missing)}',
        )


class OptionBuilder(Transformer[Token, Any]):
    """Builds the options of teams and routes."""

    def rate(self, words: Children) -> Option:
        return Option('rate_per_s', _number(words[1]), words[0])

    def burst(self, words: Children) -> Option:
        return Option('burst', _number(words[1]), words[0])

    def zones(self, words: Children) -> Option:
        return Option('zone_weights', tuple(words[1:]), words[0])

    def zone(self, words: Children) -> tuple[str, float]:
        weight = _number(words[1]) if len(words) > 1 else 1.0
        return str(words[0]), weight

    def service(self, words: Children) -> Option:
        return Option('service', str(words[1]), words[0])

    def methods(self, words: Children) -> Option:
        methods = tuple(word.upper() for word in words[1:])
        return Option('methods', methods, words[0])

    def path(self, words: Children) -> Option:
        return Option('path_prefix', str(words[1]), words[0])

    def priority(self, words: Children) -> Option:
        names = [priority.name.lower() for priority in Priority]
        chosen = choose_word(words[1], names, 'priority')
        return Option('priority', Priority[chosen.upper()], words[0])

    def retries(self, words: Children) -> Option:
        return Option('retry_limit', int(words[1]), words[0])

    def timeout(self, words: Children) -> Option:
        return Option('timeout_ms', int(words[1]), words[0])

    def idempotent(self, words: Children) -> Option:
        return Option('idempotent', len(words) == 1, words[-1])

    def open_to_all(self, words: Children) -> Option:
        return Option('open_to_all', len(words) == 1, words[-1])


def _number(token: Token) -> float:
    number = float(token)
    if math.isfinite(number):
        return number
    raise WordError(token, 'the number is too large')
