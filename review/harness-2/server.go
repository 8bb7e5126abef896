//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of a server: a plain one, or a model server if model is set. It is
// sound: it echoes Request-Id, checks Expect-Instance, reports itself every 1.2 s, and drops
// a request when its connection closes.
type server struct {
	s        *system
	id       string
	service  string
	zone     string
	model    string
	software string
	slots    int
	work     time.Duration // of a plain request
	status   int           // of the answers of a plain server
	events   int           // of a stream
	gap      time.Duration // between two events
	addr     string
	born     int64
	poison   string        // ID of a part, never the last, at which the process ends when it begins to answer
	away     time.Duration // from the end of the process until the next one runs

	mu       sync.Mutex
	web      *http.Server
	lives    int // processes so far
	down     bool
	draining bool
	beats    int // reports so far
	crashes  []time.Time
	ran      map[string]*execution // by Request-Id
	cached   map[string]bool       // parts by salt
	busyTo   time.Time             // end of the prefill of all requests so far
}

// execution is a request that the server began to work on.
type execution struct {
	id, tenant string
	at         time.Time
	finished   bool
}

const (
	heartbeat          = 1200 * time.Millisecond
	prefillTokensPerMS = 61.8
)

// startServer starts a server at a free port and registers it.
func (s *system) startServer(o *server) (*server, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	o.s, o.addr, o.born = s, ln.Addr().String(), time.Now().UnixMilli()
	o.ran, o.cached = map[string]*execution{}, map[string]bool{}
	if o.status == 0 {
		o.status = http.StatusOK
	}
	o.serve(ln)
	ended := make(chan struct{})
	s.closers = append(s.closers, func() { close(ended); o.stop() })
	o.register(1)
	go func() {
		for n := 2; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(heartbeat):
				o.register(n)
			}
		}
	}()
	return o, nil
}

func (o *server) serve(ln net.Listener) {
	web := &http.Server{Handler: o}
	o.mu.Lock()
	o.web, o.down, o.lives = web, false, o.lives+1
	o.mu.Unlock()
	go func() { _ = web.Serve(ln) }()
}

func (o *server) stop() {
	o.mu.Lock()
	web := o.web
	o.mu.Unlock()
	_ = web.Close()
}

// identity returns the ID of the process that runs: a restart has a new one.
func (o *server) identity() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lives == 1 {
		return o.id
	}
	return fmt.Sprintf("%s-%d", o.id, o.lives)
}

// crash ends the process, as at a poisoned request. All its connections end. It is back
// after some seconds with a new ID, and the store drops the old entry after three heartbeats.
func (o *server) crash(request string) {
	id := o.identity()
	o.mu.Lock()
	if o.down {
		o.mu.Unlock()
		return
	}
	o.down = true
	o.crashes = append(o.crashes, time.Now())
	o.mu.Unlock()
	o.s.record("%s ends at request %s", id, request)
	go func() {
		o.stop()
		time.Sleep(o.away)
		ln, err := net.Listen("tcp4", o.addr)
		if err != nil {
			o.s.record("%s can not start again: %v", o.id, err)
			return
		}
		o.mu.Lock()
		o.born, o.cached, o.busyTo = time.Now().UnixMilli(), map[string]bool{}, time.Time{}
		o.mu.Unlock()
		o.serve(ln)
		o.register(1)
		time.Sleep(max(0, 3*heartbeat-o.away))
		o.s.store.Delete("servers", id)
	}()
}

// poisoned reports whether a request has the part that ends the process.
func (o *server) poisoned(r *http.Request) bool {
	return o.poison != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), o.poison+":")
}

// register writes the server's entry.
func (o *server) register(sequence int) {
	o.mu.Lock()
	down, state := o.down, "ready"
	if o.draining {
		state = "draining"
	}
	o.mu.Unlock()
	if down {
		return
	}
	entry := map[string]any{
		"service": o.service, "address": o.addr, "zone": o.zone, "version": o.software, "slots": o.slots,
		"state": state, "cold_left_ms": 0, "sequence": sequence, "born": o.born,
	}
	if o.model != "" {
		entry["stage"] = "unified"
		entry["models"] = []map[string]any{{"name": o.model, "version": 1, "adapters": []string{}}}
	}
	o.s.put("servers", o.identity(), entry)
	o.mu.Lock()
	o.beats++
	o.mu.Unlock()
}

func (o *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != o.identity() {
		w.Header().Set("Instance-Id", o.identity())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/api/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"unified","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":0,"kv_used":0,"kv_total":148170,"handles":0}`, o.model)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run := &execution{id: id, tenant: r.Header.Get("Tenant-Name"), at: time.Now()}
	o.mu.Lock()
	o.ran[id] = run
	o.mu.Unlock()
	o.s.record("%s runs %s %s for %q", o.identity(), r.Method, id, run.tenant)
	w.Header().Set("Server-Seal", o.identity()+"."+id)
	if o.model == "" {
		o.plain(w, r, run)
		return
	}
	o.stream(w, r, run)
}

func (o *server) plain(w http.ResponseWriter, r *http.Request, run *execution) {
	select {
	case <-time.After(o.work):
	case <-r.Context().Done():
		return
	}
	o.finish(run)
	w.WriteHeader(o.status)
	_, _ = io.WriteString(w, "answer to "+run.id+"\n")
}

func (o *server) finish(run *execution) {
	o.mu.Lock()
	defer o.mu.Unlock()
	run.finished = true
}

// prefill returns how long the prompt of a request takes until its first event.
func (o *server) prefill(r *http.Request) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	tokens := 0
	for _, part := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		_, count, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(count) // 0 if absent
		key := r.Header.Get("Cache-Salt") + "/" + part
		if !o.cached[key] {
			tokens += n
		}
		o.cached[key] = true
	}
	now := time.Now()
	if o.busyTo.Before(now) {
		o.busyTo = now
	}
	o.busyTo = o.busyTo.Add(time.Duration(float64(tokens) / prefillTokensPerMS * float64(time.Millisecond)))
	return o.busyTo.Sub(now) + 4*time.Millisecond
}

func (o *server) stream(w http.ResponseWriter, r *http.Request, run *execution) {
	w.Header().Set("Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if absent
	wait := o.prefill(r)
	control := http.NewResponseController(w)
	for n := from + 1; n <= o.events; n++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		if n == from+1 && o.poisoned(r) {
			o.crash(run.id)
			<-r.Context().Done()
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		wait = o.gap
	}
	o.finish(run)
}

// executionOf returns what a server ran under an ID, or nil.
func executionOf(servers []*server, id string) (*server, *execution) {
	for _, o := range servers {
		o.mu.Lock()
		run := o.ran[id]
		o.mu.Unlock()
		if run != nil {
			return o, run
		}
	}
	return nil, nil
}
