//go:build review2

package main

// config returns a valid config of the operator with the given routes, services and tenants.
func config(version int, routes, services, tenants []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// route returns a route to one service.
func route(name, prefix, kind, service string, attempts, timeoutMS, targetMS int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "max_attempts": attempts,
		"timeout_ms": timeoutMS, "target_latency_ms": targetMS, "priority": 1, "public": false, "sticky": false, "resumable": false,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "conn_limit": 96, "protocol": "h1", "tls": false}
}

func modelService(name, model string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "conn_limit": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 148170, "token_kv_bytes": 163840, "link_mbps": 1100000, "models": []map[string]any{{"name": model}}},
	}
}

func tenant(name, key string, ratePerS, burst int) map[string]any {
	return map[string]any{"name": name, "api_keys": []string{key}, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": ratePerS, "burst": burst}
}
