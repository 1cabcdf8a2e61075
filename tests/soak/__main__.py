"""Run seeds: ``python -m tests.soak FIRST_SEED COUNT SECONDS``."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from tests.soak import runs  # noqa: E402

USAGE = 'usage: python -m tests.soak FIRST_SEED COUNT SECONDS'


def main(words: list[str]) -> int:
    """Run some seeds; return 1 where a promise was broken, 2 for usage."""
    if len(words) != 3 or not all(word.isdigit() for word in words):
        sys.stderr.write(f'{USAGE}\n')
        return 2
    first, count, seconds = map(int, words)
    broken = 0
    for seed in range(first, first + count):
        found = runs.run(seed, seconds)
        whole = sum(seen.is_whole for seen in found.seen)
        sys.stdout.write(
            f'seed {seed}: {len(found.seen)} requests, {whole} answered whole,'
            f' {found.resumed} streams resumed to their end,'
            f' {found.taken_up} turns taken up,'
            f' {len(found.broken)} promises broken\n'
        )
        for line in found.broken:
            sys.stdout.write(f'  {line}\n')
        sys.stdout.flush()
        broken += bool(found.broken)
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
