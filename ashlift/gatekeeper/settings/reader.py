"""Reads S-expressions into lists that know where they stand. The grammar is lark's; nothing is checked here
but the form.

    (name value ... (name value ...))     names and values are bare words or "text"; `;` begins a remark
"""

import re
from dataclasses import dataclass
from functools import cache
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

DEEPEST = 32  # lists within lists: guards against a file that only exhausts the stack

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
    """Where something stands in a file; both count from 1."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Problem:
    """One thing that is wrong, where it stands and what it concerns (dotted; empty: the form itself)."""

    position: Position
    key: str
    what: str

    def format(self, name: str) -> str:
        """The one line that an operator gets."""
        where = f"{name}:{self.position.line}:{self.position.column}: "
        return where + (f"{self.key}: {self.what}" if self.key else self.what)


class SettingsError(Exception):
    """A file that cannot be used; `lines` holds one line for each fault."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


@dataclass(frozen=True, slots=True)
class Atom:
    """One value as written; `text` has its quotes taken off."""

    text: str
    quoted: bool
    position: Position


@dataclass(frozen=True, slots=True)
class ListNode:
    """One list; `position` is that of its opening bracket."""

    items: "tuple[Atom | ListNode, ...]"
    position: Position


class _Build(Transformer[Token, ListNode]):
    def start(self, children: list[Any]) -> ListNode:
        only: ListNode = children[0]
        return only

    def list(self, children: list[Any]) -> ListNode:
        # The brackets are kept by their tokens alone; the first child of a rule with positions is they.
        opening, *items, _ = children
        return ListNode(tuple(items), Position(opening.line, opening.column))

    def WORD(self, token: Token) -> Atom:  # noqa: N802
        return Atom(str(token), False, Position(token.line or 1, token.column or 1))

    def TEXT(self, token: Token) -> Atom:  # noqa: N802
        inner = str(token)[1:-1]
        out, skip = [], False
        for sign in inner:
            if skip or sign != "\\":
                out.append({"n": "\n", "t": "\t"}.get(sign, sign) if skip else sign)
                skip = False
            else:
                skip = True
        return Atom("".join(out), True, Position(token.line or 1, token.column or 1))


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", keep_all_tokens=True, propagate_positions=True)


def parse(text: str) -> ListNode | Problem:
    """The one list that a file holds, or what is wrong with its form."""
    deep = 0
    for part in re.sub(r'"(\\.|[^"\\])*"|;[^\n]*', "", text):  # brackets within text or remarks are not lists
        deep += (part == "(") - (part == ")")
        if deep > DEEPEST:
            return Problem(Position(1, 1), "", f"lists more than {DEEPEST} deep")
    try:
        return _Build().transform(_parser().parse(text))
    except UnexpectedToken as bad:
        if bad.token.type == "$END":
            return Problem(_end(text), "", "the file ends within a list: a ) is missing")
        what = f"unexpected {str(bad.token)!r}"
        if bad.token.type in ("RPAR", "LPAR") and bad.expected == {"$END"}:
            what = "more than the one list (ashlift ...), or a ) too many"
        return Problem(Position(bad.line, bad.column), "", what)
    except UnexpectedCharacters as bad:
        return Problem(Position(bad.line, bad.column), "", f"cannot be read from here on: {bad.char!r}")
    except UnexpectedEOF:
        return Problem(_end(text), "", "the file ends within a list")


def _end(text: str) -> Position:
    lines = text.split("\n")
    return Position(len(lines), len(lines[-1]) + 1)
