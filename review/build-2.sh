#!/bin/sh
# The stand-ins of cases 6 to 10 are Python files of the standard library:
# compiling them shows that they can be read by the interpreter in use.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 python3 - <<'P'
import pathlib
for path in sorted([*pathlib.Path('common-2').glob('*.py'), *pathlib.Path('.').glob('[0-9]*/run.py')]):
    if path.parts[0] in {'1', '2', '3', '4', '5'}:
        continue
    compile(path.read_text(), str(path), 'exec')
    print('compiled', path)
P
