#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 does the same without the disruption; the rule must hold then. case.py reads it through lib/stand.py.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
code=0
python3 -B case.py || code=$?
case $code in
0) exit 0 ;;
41) exit 1 ;;
*) exit 2 ;;
esac
