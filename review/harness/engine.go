//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const modelName = "m0"

// order is an order that reached an engine.
type order struct {
	at      time.Time
	holder  string // every instance has its own
	epoch   uint64
	version int
	status  int
}

// engine is a model server that does not check epoch numbers. It follows the platform's
// pages: an order is refused with 409 while another is in progress or if the number of
// orders accepted differs, and the weights change when it is carried out.
type engine struct {
	w        *world
	id, zone string
	service  string
	addr     string
	loadTime time.Duration
	born     int64

	mu       sync.Mutex
	version  int
	named    int // newest version that the operator has named
	loading  bool
	sequence int
	orders   []order
	kv       *kvCache
	uses     []use
}

func (w *world) addEngine(id, service, zone string, loadTime time.Duration) (*engine, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{w: w, id: id, zone: zone, service: service, addr: ln.Addr().String(), loadTime: loadTime, version: 1, named: 1, born: time.Now().UnixMilli()}
	e.kv = w.addCache(e.addr)
	go func() { _ = http.Serve(ln, e) }()
	e.register()
	return e, nil
}

// addEngines adds model servers, in the zones in turn.
func (w *world) addEngines(n int, loadTime time.Duration) ([]*engine, error) {
	var out []*engine
	for i := range n {
		e, err := w.addEngine(fmt.Sprintf("i-engine-%d", i+1), llmService, fmt.Sprintf("piedmont-%c", 'a'+i%3), loadTime)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, nil
}

// register writes the entry of the engine.
func (e *engine) register() {
	e.mu.Lock()
	raw, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0,
		"stage": "unified", "models": []map[string]any{{"name": modelName, "version": e.version, "adapters": []string{}}},
		"sequence": e.sequence, "born": e.born,
	})
	e.mu.Unlock()
	e.w.store.Put("servers", e.id, raw)
}

func (e *engine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	rw.Header().Set("Instance-Id", e.id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/report":
		e.report(rw)
	case "/api/order":
		e.order(rw, r)
	case "/health":
		rw.WriteHeader(http.StatusOK)
	default:
		e.request(rw, r)
	}
}

func (e *engine) report(rw http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{
		"stage": "unified", "models": []map[string]any{{"name": modelName, "version": e.version, "adapters": []string{}}},
		"busy": e.loading, "sequence": e.sequence, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 236942, "handles": 0,
	})
}

func (e *engine) order(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Opcode   string  `json:"opcode"`
		Version  int     `json:"version"`
		Holder   string  `json:"holder"`
		Epoch    *uint64 `json:"fencing_token"`
		Expected *int    `json:"expected"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Holder == "" || body.Epoch == nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case e.loading || (body.Expected != nil && *body.Expected != e.sequence):
		status = http.StatusConflict
	case body.Opcode != "version" || body.Version > e.named:
		status = http.StatusBadRequest
	case body.Version == e.version:
		status = http.StatusOK
	default:
		e.sequence++
		e.loading = true
		time.AfterFunc(e.loadTime, func() { e.loaded(body.Version) })
	}
	o := order{time.Now(), body.Holder, *body.Epoch, body.Version, status}
	e.orders = append(e.orders, o)
	e.w.note("%s: order for version %d from %s, epoch %d, answered %d", e.id, o.version, o.holder, o.epoch, o.status)
	rw.WriteHeader(status)
}

func (e *engine) loaded(version int) {
	e.mu.Lock()
	e.loading, e.version = false, version
	e.mu.Unlock()
	e.kv.clear()
	e.register()
}

func (e *engine) request(rw http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	loading, version := e.loading, e.version
	e.mu.Unlock()
	expected := r.Header.Get("Expect-Version")
	switch {
	case loading:
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	case expected != "" && expected != strconv.Itoa(version):
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h := map[string]string{}
	for _, name := range []string{"Request-Id", "Tenant-Name", "Model-Name", "Cache-Salt", "Kv-Fetch", "Kv-Save", "Prompt-Prefix"} {
		h[name] = r.Header.Get(name)
	}
	uses := e.readPrompt(h, version)
	e.mu.Lock()
	e.uses = append(e.uses, uses...)
	e.mu.Unlock()
	e.w.note("%s: runs request %s of %s on version %d, salt %q, uses %d kept parts", e.id, h["Request-Id"], h["Tenant-Name"], version, h["Cache-Salt"], len(uses))
	rw.Header().Set("Server-Seal", e.id+"."+r.Header.Get("Request-Id"))
	rw.Header().Set("Weight-Versions", strconv.Itoa(version))
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 5; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: token\n\n", i)
	}
}
