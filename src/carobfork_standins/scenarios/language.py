"""Language: parse scenario files into steps."""

import pathlib

import attrs
import lark

from carobfork import exceptions

_GRAMMAR = pathlib.Path(__file__).with_name('grammar.lark')


@attrs.frozen
class Step:
    """One line of a scenario.

    ``later`` steps run beside the following ones until they are awaited.
    """

    verb: str
    words: tuple[str, ...]
    options: dict[str, str]
    label: str = ''
    later: bool = False
    line: int = 0

    def __str__(self) -> str:
        """Return the step as it could be written."""
        options = [f'{name}={text}' for name, text in self.options.items()]
        return ' '.join([self.verb, *self.words, *options])


@attrs.frozen
class Scenario:
    """A parsed scenario."""

    title: str
    steps: tuple[Step, ...]


class _Builder(lark.Transformer):
    """Build steps from the parse tree."""

    def start(self, children: list) -> Scenario:
        title, *steps = children
        return Scenario(_text(title), tuple(steps))

    @lark.v_args(meta=True)
    def step(self, meta, children: list) -> Step:
        later, label = False, ''
        if isinstance(children[0], _Label):
            later, label = children[0].later, children[0].name
            children = children[1:]
        verb, *arguments = children
        return Step(
            verb=str(verb),
            words=tuple(text for name, text in arguments if not name),
            options={name: text for name, text in arguments if name},
            label=label,
            later=later,
            line=meta.line,
        )

    def label(self, children: list) -> '_Label':
        return _Label(name=str(children[-1]), later=len(children) > 1)

    def option(self, children: list) -> tuple[str, str]:
        name, text = children
        return str(name), _text(text)

    def plain(self, children: list) -> tuple[str, str]:
        return '', _text(children[0])


@attrs.frozen
class _Label:
    name: str
    later: bool


def parse(text: str) -> Scenario:
    """Parse a scenario.

    :raises SettingsError: naming the line and what was expected there.
    """
    parser = lark.Lark(
        _GRAMMAR.read_text(), parser='lalr', propagate_positions=True
    )
    try:
        return _Builder().transform(parser.parse(text))
    except lark.UnexpectedInput as error:
        raise exceptions.SettingsError(
            f'line {error.line}: {error.get_context(text)}', step='parse'
        ) from error


def _text(token: lark.Token) -> str:
    return str(token).strip('"')
