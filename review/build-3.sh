#!/bin/sh
# The stand-ins of review/11 to review/15 need only Python's standard library.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common-3
