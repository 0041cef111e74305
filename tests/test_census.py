"""The census of the tests: what it counts, and what it says is lost."""

from textwrap import dedent

from ward import raises, test

from tests.support.census import Row, counted, losses, read_renamed

SOURCE = dedent('''
    def shared(found):
        assert found

    @test("a title in "
          "two pieces, {case}")
    def _(case=each(1, 2)):
        assert case
        with raises(ValueError):
            int("x")

    class Group:
        def test_in_a_class(self):
            assert True

    def helper():
        """None of the tests."""
''')


@test("census: titles of ward and pytest with their assertions, and those that tests share")
def _() -> None:
    assert counted(SOURCE, "a.py") == [
        Row("a.py", "a title in two pieces, {case}", 2),
        Row("a.py", "test_in_a_class", 1),
        Row("a.py", "-", 1),
    ]


@test("census: a test that moves to another file is not lost, one with fewer assertions is told")
def _() -> None:
    old = [Row("a.py", "one", 2), Row("a.py", "two", 1)]
    assert list(losses(old, [Row("b.py", "one", 2), Row("c.py", "two", 1)], {})) == []
    assert list(losses(old, [Row("b.py", "one", 1), Row("c.py", "two", 3)], {})) == [
        "fewer assertions: b.py: one: 2 before, 1 now"
    ]


@test("census: of several tests with one title each counts, and what tests share as well")
def _() -> None:
    old = [Row("a.py", "one", 2), Row("b.py", "one", 1), Row("b.py", "-", 3)]
    assert list(losses(old, [Row("a.py", "one", 2), Row("a.py", "-", 2)], {})) == [
        "gone: b.py: one (1 assertions)",
        "fewer assertions in what tests share: 3 before, 2 now",
    ]


@test("census: a title that is listed as renamed is looked for by its new one")
def _() -> None:
    renamed = read_renamed("# old, new\none\tfirst\n")
    assert list(losses([Row("a.py", "one", 1)], [Row("a.py", "first", 1)], renamed)) == []
    assert list(losses([Row("a.py", "one", 1)], [Row("a.py", "second", 1)], renamed)) != []
    with raises(ValueError):
        read_renamed("one\tfirst\none\tsecond\n")
