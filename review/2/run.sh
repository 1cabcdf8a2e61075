#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")"
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 case.py
