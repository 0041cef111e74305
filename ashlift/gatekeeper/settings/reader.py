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
class Spot:
    """Where something stands in a file; both count from 1."""

    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that is wrong, where it stands and what it concerns (dotted; empty: the form itself)."""

    spot: Spot
    key: str
    what: str

    def tell(self, name: str) -> str:
        """The one line that an operator gets."""
        where = f"{name}:{self.spot.line}:{self.spot.column}: "
        return where + (f"{self.key}: {self.what}" if self.key else self.what)


class SettingsError(Exception):
    """A file that cannot be used; `lines` holds one line for each fault."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


@dataclass(frozen=True, slots=True)
class Word:
    """One value as written; `text` has its quotes taken off."""

    text: str
    quoted: bool
    spot: Spot


@dataclass(frozen=True, slots=True)
class Items:
    """One list; `spot` is that of its opening bracket."""

    items: "tuple[Word | Items, ...]"
    spot: Spot


class _Build(Transformer[Token, Items]):
    def start(self, children: list[Any]) -> Items:
        only: Items = children[0]
        return only

    def list(self, children: list[Any]) -> Items:
        # The brackets are kept by their tokens alone; the first child of a rule with positions is they.
        opening, *items, _ = children
        return Items(tuple(items), Spot(opening.line, opening.column))

    def WORD(self, token: Token) -> Word:  # noqa: N802
        return Word(str(token), False, Spot(token.line or 1, token.column or 1))

    def TEXT(self, token: Token) -> Word:  # noqa: N802
        inner = str(token)[1:-1]
        out, skip = [], False
        for sign in inner:
            if skip or sign != "\\":
                out.append({"n": "\n", "t": "\t"}.get(sign, sign) if skip else sign)
                skip = False
            else:
                skip = True
        return Word("".join(out), True, Spot(token.line or 1, token.column or 1))


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", keep_all_tokens=True, propagate_positions=True)


def read(text: str) -> Items | Fault:
    """The one list that a file holds, or what is wrong with its form."""
    deep = 0
    for part in re.sub(r'"(\\.|[^"\\])*"|;[^\n]*', "", text):  # brackets within text or remarks are not lists
        deep += (part == "(") - (part == ")")
        if deep > DEEPEST:
            return Fault(Spot(1, 1), "", f"lists more than {DEEPEST} deep")
    try:
        return _Build().transform(_parser().parse(text))
    except UnexpectedToken as bad:
        if bad.token.type == "$END":
            return Fault(_end(text), "", "the file ends within a list: a ) is missing")
        what = f"unexpected {str(bad.token)!r}"
        if bad.token.type in ("RPAR", "LPAR") and bad.expected == {"$END"}:
            what = "more than the one list (ashlift ...), or a ) too many"
        return Fault(Spot(bad.line, bad.column), "", what)
    except UnexpectedCharacters as bad:
        return Fault(Spot(bad.line, bad.column), "", f"cannot be read from here on: {bad.char!r}")
    except UnexpectedEOF:
        return Fault(_end(text), "", "the file ends within a list")


def _end(text: str) -> Spot:
    lines = text.split("\n")
    return Spot(len(lines), len(lines[-1]) + 1)
