"""Parses S-expressions into atoms and lists with their positions. Only the syntax is checked.

(name value ... (name value ...))     names and values are bare words or "text"; `;` starts a comment
"""

import re
from dataclasses import dataclass
from functools import cache
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

MAX_DEPTH = 32  # of nested lists, so that a file cannot exhaust the stack

GRAMMAR = r"""
    start: list
    list: "(" item* ")"
    ?item: list | WORD | TEXT
    WORD: /[^\s()";]+/
    TEXT: /"(\\.|[^"\\])*"/s
    COMMENT: /;[^\n]*/
    %import common.WS
    %ignore WS
    %ignore COMMENT
"""


@dataclass(frozen=True, slots=True)
class Position:
    """A position in a file; line and column count from 1."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Problem:
    """An error in a file. `key` is the dotted key that it concerns, empty for syntax errors."""

    position: Position
    key: str
    message: str

    def format(self, name: str) -> str:
        """One line for operators: FILE:LINE:COLUMN: key: message."""
        where = f"{name}:{self.position.line}:{self.position.column}: "
        return where + (f"{self.key}: {self.message}" if self.key else self.message)


class SettingsError(Exception):
    """A settings file is invalid; `lines` has one line for each problem."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


@dataclass(frozen=True, slots=True)
class Atom:
    """A word or quoted string; `text` is without quotes and escapes."""

    text: str
    quoted: bool
    position: Position


@dataclass(frozen=True, slots=True)
class ListNode:
    """A list; `position` is that of its opening parenthesis."""

    items: "tuple[Atom | ListNode, ...]"
    position: Position


class _TreeBuilder(Transformer[Token, ListNode]):
    def start(self, children: list[Any]) -> ListNode:
        only: ListNode = children[0]
        return only

    def list(self, children: list[Any]) -> ListNode:
        opening, *items, _ = children
        return ListNode(tuple(items), Position(opening.line, opening.column))

    def WORD(self, token: Token) -> Atom:  # noqa: N802
        return Atom(str(token), False, Position(token.line or 1, token.column or 1))

    def TEXT(self, token: Token) -> Atom:  # noqa: N802
        quoted = str(token)[1:-1]
        characters, escaped = [], False
        for character in quoted:
            if escaped or character != "\\":
                characters.append({"n": "\n", "t": "\t"}.get(character, character) if escaped else character)
                escaped = False
            else:
                escaped = True
        return Atom("".join(characters), True, Position(token.line or 1, token.column or 1))


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", keep_all_tokens=True, propagate_positions=True)


def parse(text: str) -> ListNode | Problem:
    """Parses a file with exactly one list."""
    depth = 0
    for character in re.sub(r'"(\\.|[^"\\])*"|;[^\n]*', "", text):  # without strings and comments
        depth += (character == "(") - (character == ")")
        if depth > MAX_DEPTH:
            return Problem(Position(1, 1), "", f"lists nested more than {MAX_DEPTH} deep")
    try:
        return _TreeBuilder().transform(_parser().parse(text))
    except UnexpectedToken as error:
        if error.token.type == "$END":
            return Problem(_end(text), "", "unexpected end of file: missing )")
        message = f"unexpected {str(error.token)!r}"
        if error.token.type in ("RPAR", "LPAR") and error.expected == {"$END"}:
            message = "expected one list only"
        return Problem(Position(error.line, error.column), "", message)
    except UnexpectedCharacters as error:
        return Problem(Position(error.line, error.column), "", f"unexpected character {error.char!r}")
    except UnexpectedEOF:
        return Problem(_end(text), "", "unexpected end of file")


def _end(text: str) -> Position:
    lines = text.split("\n")
    return Position(len(lines), len(lines[-1]) + 1)
