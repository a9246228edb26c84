"""The operator isolates a tenant whose prompts share parts with those of others so far."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig-3"))
from config import KEY_A, KEY_B, MODEL, config
from rig import BOUNDS, TROUBLE, main

SHARED = "5c1e07a2:800,91bd3f06:410"


def tenants(isolated):
    return [{"name": "bozi300", "api_keys": [KEY_A], "priority": 1, "isolated": isolated},
            {"name": "cera410", "api_keys": [KEY_B], "priority": 1, "isolated": False}]


def prompt(case, host, key, number):
    fields = {"X-Endivespan-Model": MODEL, "X-Endivespan-Token-Count": "1460,80",
              "X-Endivespan-Prompt-Prefix": f"{SHARED},e44{number:05x}:250"}
    request, sent, status = case.ask(host, "POST", f"/sheet/{number}", key, fields, b"prompt", deadline_ms=12000)
    if status != 200:
        raise RuntimeError(f"a prompt was answered {status}")
    return request


def play(case):
    # Without the disruption the tenant is isolated from the start.
    case.configure(config(7, tenants(isolated=not TROUBLE)))
    for number in range(2):
        case.runner("puhuja", f"i-puhuja{number}", model=MODEL)
    host = case.host("front-hame-a-1")
    case.wait_ready()
    time.sleep(1)
    for number in range(6):
        prompt(case, host, KEY_A, number)
    if TROUBLE:
        case.configure(config(9, tenants(isolated=True)))
    time.sleep(BOUNDS["config_apply_ms"] / 1000 + 3)
    broken = []
    for number in range(6, 12):
        for key in (KEY_B, KEY_A):
            for runner, run in case.ran(prompt(case, host, key, number)):
                for part, maker in run[4]:
                    broken.append(f"WALL: request {run[1]} of {run[2]} at {runner.name} used part {part}, which a request "
                                  f"of {maker} made")
    return broken


main(__file__, play)
