"""The configuration of a small deployment, with one tenant by default."""

KEY_A, KEY_B = "jnbanfqasnmgkcuyj8pj", "bvk9m68k7b2ex5wa5xwy"
MODEL = "daka510000"

ROUTES = [
    {"name": "r-order", "host": "pule25.example", "path_prefix": "/order/", "type": "non_idempotent",
     "timeout_ms": 1500, "aim_ms": 300, "priority": 1, "service": "verstas", "max_attempts": 1, "public": False,
     "sticky": False, "resumable": False},
    {"name": "r-read", "host": "pule25.example", "path_prefix": "/read/", "type": "idempotent", "timeout_ms": 1500,
     "aim_ms": 300, "priority": 1, "service": "verstas", "max_attempts": 2, "public": False, "sticky": False,
     "resumable": False},
    {"name": "r-sheet", "host": "pule25.example", "path_prefix": "/sheet/", "type": "streaming", "timeout_ms": 12000,
     "aim_ms": 600, "priority": 1, "service": "puhuja", "max_attempts": 2, "public": False, "sticky": True,
     "resumable": True, "target_gap_ms": 400},
]
SERVICES = [
    {"name": "puhuja", "health_path": "/health", "max_conns": 720, "protocol": "h1", "tls": False, "cold_s": 3.0,
     "cold_per_s": 16.0,
     "engine": {"slots": 64, "kv_capacity_tokens": 131597, "kv_token_bytes": 35136, "link_mbps": 1500000.0,
                "moves": True, "backups": True, "managed": True, "stride": 7, "max_inflight": 12, "pin_ms": 4000.0,
                "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": MODEL}]}},
    {"name": "verstas", "health_path": "/health", "max_conns": 192, "protocol": "h1", "tls": False, "cold_s": 0.0,
     "cold_per_s": 0.0},
]
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


def config(version, tenants=None):
    if tenants is None:
        tenants = [{"name": "bozi300", "api_keys": [KEY_A], "priority": 1}]
    return {"version": version, "routes": ROUTES, "services": SERVICES, "limits": LIMITS, "tenants": tenants}
