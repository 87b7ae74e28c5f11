"""The syntax error of the operators' command language.

Its message shows the line and points at the wrong word.
"""

import difflib
import types
from typing import Final

from lark import Token
from lark.exceptions import (
    UnexpectedCharacters,
    UnexpectedInput,
    UnexpectedToken,
)

# How messages name the terminals of grammar.lark; the others are keywords,
# which are shown as they are.
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
# Descriptions of terminals that match many words; they are never suggested as
# a correction.
_OPEN_ENDED: Final = frozenset(('a name', 'a method such as GET'))


class CommandSyntaxError(Exception):
    """A text that is not a valid command.

    ``line`` and ``column`` count from 1. ``found`` is the word at that
    position, empty at the end of a line or of the text.
    """

    def __init__(
        self,
        detail: str,
        source: str,
        position: tuple[int, int],
        found: str = '',
    ) -> None:
        """Compose the message, the source line and a line with a caret."""
        self.detail = detail
        self.line = position[0]
        self.column = position[1]
        self.found = found
        lines = source.split('\n')
        source_line = lines[min(self.line, len(lines)) - 1].replace('\t', ' ')
        caret = '^' * max(1, len(found.split('\n', 1)[0]))
        super().__init__(
            f'line {self.line}, column {self.column}: {detail}\n'
            f'  {source_line}\n'
            f'  {" " * (self.column - 1)}{caret}',
        )


def create_error_at(
    token: Token, detail: str, source: str
) -> CommandSyntaxError:
    """Create an error that points at a word that the grammar allowed."""
    position = (token.line or 1, token.column or 1)
    return CommandSyntaxError(detail, source, position, str(token))


def convert_parser_error(
    error: UnexpectedInput, source: str
) -> CommandSyntaxError:
    """Convert an error of the lark parser."""
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
        rest_of_line = source.split('\n')[error.line - 1][error.column - 1 :]
        found = (rest_of_line.split() or [''])[0]
    detail = f'found {found:.60}' if found else 'the line ends too early'
    options = _describe_terminals(expected)
    position = (max(error.line, 1), max(error.column, 1))
    return CommandSyntaxError(
        f'{detail}, expected {_join_options(options)}'
        f'{format_suggestion(found, options)}',
        source,
        position,
        found,
    )


def format_suggestion(found: str, options: list[str]) -> str:
    """Return a phrase with the most similar option, or an empty text."""
    similar = difflib.get_close_matches(found.lower(), options, n=1)
    if not similar or similar[0] in _OPEN_ENDED:
        return ''
    return f'; did you mean "{similar[0]}"?'


def _unexpected_end(expected: set[str], source: str) -> CommandSyntaxError:
    trimmed = source.rstrip()
    line = trimmed.count('\n') + 1
    column = len(trimmed) - trimmed.rfind('\n')
    return CommandSyntaxError(
        'the text ends too early, expected '
        f'{_join_options(_describe_terminals(expected))}',
        trimmed,
        (line, column),
    )


def _describe_terminals(terminals: set[str]) -> list[str]:
    return sorted({
        _DESCRIPTIONS.get(
            terminal,
            terminal.strip('_').removesuffix('_GROUP').lower(),
        )
        for terminal in terminals
    })


def _join_options(options: list[str]) -> str:
    return options[0] if len(options) == 1 else f'one of {", ".join(options)}'
