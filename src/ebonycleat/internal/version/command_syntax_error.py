"""The one error of the operators' language; it points at the wrong word."""

import difflib
import types
from typing import Final

from lark import Token
from lark.exceptions import (
    UnexpectedCharacters,
    UnexpectedInput,
    UnexpectedToken,
)

_DESCRIPTIONS: Final = types.MappingProxyType({
    '$END': 'the end',
    'DIGEST': 'a key digest (64 hexadecimal digits)',
    'INT': 'a whole number',
    'METHOD': 'a method such as GET',
    'MILLISECONDS': 'a number of milliseconds',
    'NAME': 'a name',
    'NUMBER': 'a number',
    'PATH_PREFIX': 'a path such as /map',
    '_NL': 'a new line',
    '_PER_S': '"/s"',
    '_TO_ALL': '"to all"',
    'COMMA': '","',
    'EQUAL': '"="',
    'SEMICOLON': '";"',
})
_OPEN_ENDED: Final = frozenset(('a name', 'a method such as GET'))


class CommandSyntaxError(Exception):
    """A text that is no command.

    ``line`` and ``column`` count from 1; ``found`` is the word they point
    at, empty at the end of the text.
    """

    def __init__(
        self,
        detail: str,
        source: str,
        place: tuple[int, int],
        found: str = '',
    ) -> None:
        """Build the message with the source line and a caret line."""
        self.detail = detail
        self.line = place[0]
        self.column = place[1]
        self.found = found
        lines = source.split('\n')
        shown = lines[min(self.line, len(lines)) - 1].replace('\t', ' ')
        caret = '^' * max(1, len(found.split('\n', 1)[0]))
        super().__init__(
            f'line {self.line}, column {self.column}: {detail}\n'
            f'  {shown}\n'
            f'  {" " * (self.column - 1)}{caret}',
        )


def create_error_at(
    token: Token, detail: str, source: str
) -> CommandSyntaxError:
    """Point at a word that reads well but has no sense there."""
    place = (token.line or 1, token.column or 1)
    return CommandSyntaxError(detail, source, place, str(token))


def convert_parser_error(
    error: UnexpectedInput, source: str
) -> CommandSyntaxError:
    """Translate an error of the parser."""
    expected: set[str] = set()
    if isinstance(error, UnexpectedToken):
        expected = set(error.accepts or error.expected)
        token = error.token
        if token.type == '$END':
            return _unexpected_end(expected, source)
        found = '' if token.type == '_NL' else str(token)
    else:
        if isinstance(error, UnexpectedCharacters):
            expected = set(error.allowed or ())
        rest = source.split('\n')[error.line - 1][error.column - 1 :]
        found = (rest.split() or [''])[0]
    detail = f'found {found:.60}' if found else 'the line ends too early'
    options = _describe(expected)
    place = (max(error.line, 1), max(error.column, 1))
    return CommandSyntaxError(
        f'{detail}, expected {_join(options)}{format_suggestion(found, options)}',
        source,
        place,
        found,
    )


def format_suggestion(found: str, options: list[str]) -> str:
    """Offer the word that was probably meant, if there is one."""
    near = difflib.get_close_matches(found.lower(), options, n=1)
    if not near or near[0] in _OPEN_ENDED:
        return ''
    return f'; did you mean "{near[0]}"?'


def _unexpected_end(expected: set[str], source: str) -> CommandSyntaxError:
    shown = source.rstrip()
    line = shown.count('\n') + 1
    column = len(shown) - shown.rfind('\n')
    return CommandSyntaxError(
        f'the text ends too early, expected {_join(_describe(expected))}',
        shown,
        (line, column),
    )


def _describe(terminals: set[str]) -> list[str]:
    return sorted({
        _DESCRIPTIONS.get(
            terminal,
            terminal.strip('_').removesuffix('_GROUP').lower(),
        )
        for terminal in terminals
    })


def _join(options: list[str]) -> str:
    return options[0] if len(options) == 1 else f'one of {", ".join(options)}'
