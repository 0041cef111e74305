"""The census of the tests: what it counts, and which losses it reports."""

from textwrap import dedent

from ward import raises, test

from tests.support.census import Row, count_file, losses, read_renamed

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


@test("census: titles of ward and pytest tests with their assertions, and assertions outside tests")
def _() -> None:
    assert count_file(SOURCE, "a.py") == [
        Row("a.py", "a title in two pieces, {case}", 2),
        Row("a.py", "test_in_a_class", 1),
        Row("a.py", "-", 1),
    ]


@test("census: a test that moves to another file is not lost, one with fewer assertions is reported")
def _() -> None:
    old = [Row("a.py", "one", 2), Row("a.py", "two", 1)]
    assert list(losses(old, [Row("b.py", "one", 2), Row("c.py", "two", 1)], {})) == []
    assert list(losses(old, [Row("b.py", "one", 1), Row("c.py", "two", 3)], {})) == [
        "fewer assertions: b.py: one: 2 before, 1 now"
    ]


@test("census: tests with the same title are counted each, and so are assertions outside tests")
def _() -> None:
    old = [Row("a.py", "one", 2), Row("b.py", "one", 1), Row("b.py", "-", 3)]
    assert list(losses(old, [Row("a.py", "one", 2), Row("a.py", "-", 2)], {})) == [
        "gone: b.py: one (1 assertions)",
        "fewer assertions in what tests share: 3 before, 2 now",
    ]


@test("census: a title that is listed as renamed is compared by its new title")
def _() -> None:
    renamed = read_renamed("# old, new\none\tfirst\n")
    assert list(losses([Row("a.py", "one", 1)], [Row("a.py", "first", 1)], renamed)) == []
    assert list(losses([Row("a.py", "one", 1)], [Row("a.py", "second", 1)], renamed)) != []
    with raises(ValueError):
        read_renamed("one\tfirst\none\tsecond\n")
