#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are written in Python and need no build; this checks that the
# interpreter has what they use.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - lib/*.py */case.py <<'CHECK'
import asyncio
import sys
import tomllib

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print("review: all stand-ins are ready")
CHECK
