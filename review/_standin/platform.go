package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"spanrill/platform/platformtest"
)

// manifest returns a manifest with one plain service and its routes, in the form of the wire page.
func manifest() map[string]any {
	route := func(name, kind string, extra map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": platformtest.Host, "path_prefix": "/" + name + "/", "service": serviceName, "kind": kind,
			"timeout_ms": 20000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2, "auth_exempt": false, "sticky": false,
		}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"version": 1,
		"routes": []any{
			route("once", "unsafe", nil),
			route("safe", "safe", nil),
			route("events", "stream", map[string]any{"stream_resume": true, "gap_aim_ms": 200}),
			route("model", "stream", map[string]any{"service": modelService, "stream_resume": true, "gap_aim_ms": 200, "sticky": true}),
		},
		"services": []any{
			map[string]any{"name": serviceName, "health_path": "/healthz", "max_connections": 110},
			map[string]any{"name": modelService, "health_path": "/healthz", "max_connections": 1138, "engine": map[string]any{
				"slots": 192, "kv_capacity_tokens": 100000, "kv_token_bytes": kvTokenBytes, "link_mbps": 480000, "stride": 2,
				"models":  []any{map[string]any{"name": "daka510000", "pace": 1, "load_s": 0.2, "warm_s": 1}},
				"step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512, "read_per_s": 196000, "pairs_per_m": 0.166, "chunk": 512,
				"report_lag_ms": 200, "loads_per_s": 0, "loads_at_once": 6, "usual": map[string]any{"prompt": 772, "answer": 172},
				"delays": []any{}, "layers": modelLayers, "layer_mb": layerMB, "act_bytes": 29500, "pipe_mbps": 9000,
				"kinds": []any{map[string]any{"name": "a100s", "mb": engineMB, "pace": 3.1, "read_x": 3.2}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenantName, "api_keys": []string{apiKey}}},
	}
}

const (
	serviceName = "pesees"
	tenantName  = "keeper"
	apiKey      = "n2ctnfzs989anu6wsjnb"
	beat        = 1200 * time.Millisecond
)

// platform runs the store and a number of servers of the plain service until the process is ended. It
// writes the address of the store, once all of them listen, to the file "platform.json" in dir.
func platform(dir string, servers int) error {
	store := platformtest.NewStore()
	addr, err := store.Listen()
	if err != nil {
		return err
	}
	store.Set("config", "main", manifest())
	log := &runLog{}
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), log: log}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s.addr = ln.Addr().String()
		go func() { _ = http.Serve(ln, s) }()
		go s.beat(store)
	}
	go removeSilent(store)
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	content, err := json.Marshal(map[string]string{"store": addr, "runs": control.Addr().String()})
	if err != nil {
		return err
	}
	partial := filepath.Join(dir, "platform.tmp")
	if err := os.WriteFile(partial, content, 0o600); err != nil {
		return err
	}
	if err := os.Rename(partial, filepath.Join(dir, "platform.json")); err != nil {
		return err
	}
	return http.Serve(control, log)
}

// silentBeats is the number of heartbeats of silence after which an entry goes.
const silentBeats = 3

// removeSilent removes the entries of servers and engines that no longer write.
func removeSilent(store *platformtest.Store) {
	last, silent := map[string]string{}, map[string]int{}
	for {
		time.Sleep(beat)
		for _, name := range store.Names("servers") {
			value, _ := store.Get("servers", name)
			if silent[name]++; string(value) != last[name] {
				last[name], silent[name] = string(value), 0
			}
			if silent[name] >= silentBeats {
				store.Remove("servers", name)
			}
		}
	}
}

// beat writes the server's entry to the store every heartbeat.
func (s *server) beat(store *platformtest.Store) {
	for n := 1; ; n++ {
		store.Set("servers", s.id, map[string]any{
			"service": serviceName, "address": s.addr, "zone": "hall-un", "version": "v1", "slots": 6, "state": "ready",
			"cold_remaining_ms": 0, "sequence": n,
		})
		time.Sleep(beat)
	}
}
