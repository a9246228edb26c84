#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python scripts (review/rig-3) that need no build, so that this only
# checks that the interpreter reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - rig-3/*.py 1[1-5]/case.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print("build-3: the stand-ins need no build;", len(sys.argv) - 1, "scripts read")
PYTHON
