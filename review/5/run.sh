#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
code=0
python3 -B case.py || code=$?
case $code in
0) exit 0 ;;
41) exit 1 ;;
*) exit 2 ;;
esac
