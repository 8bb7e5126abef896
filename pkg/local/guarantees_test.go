package local_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/pkg/local"
	"github.com/fescuestep/fescuestep/pkg/standin"
	"github.com/fescuestep/fescuestep/pkg/standin/table"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

// TestStopWithTableFaults guards against a planned stop that cuts a stream, or
// that never ends, because the instance cannot leave the membership while the
// table is down, slow or loses its answers.
func TestStopWithTableFaults(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute) // ends a test that hangs
	defer cancel()
	cluster, err := local.Start(ctx, local.Options{
		Deployments: []standin.Config{standin.UCAB()},
		Sites: []local.Site{
			{ID: "a", Domain: "rennes"}, {ID: "b", Domain: "brest"}, {ID: "c", Domain: "vannes"},
			{ID: "d", Domain: "quimper"}, {ID: "e", Domain: "rennes"}, {ID: "f", Domain: "brest"}, {ID: "g", Domain: "vannes"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	key, err := cluster.Nodes()[0].Admin.CreateKey(ctx, &admin.CreateKeyRequest{Customer: "shops"})
	if err != nil {
		t.Fatal(err)
	}
	for name, faults := range map[string]table.Faults{
		"down": {Down: true}, "slow": {Latency: 900 * time.Millisecond}, "answers lost": {LoseAnswers: -1},
	} {
		t.Run(name, func(t *testing.T) {
			node := cluster.Nodes()[0]
			stream := begin(ctx, t, node, key.Secret, 100)
			cluster.Platform.Table.Store.Faults.Set(faults)
			defer cluster.Platform.Table.Store.Faults.Set(table.Faults{})
			started := time.Now()
			if err := node.Stop(); err != nil {
				t.Errorf("stop: %v", err)
			}
			t.Logf("stopped after %v", time.Since(started))
			data, err := io.ReadAll(stream)
			if err != nil || !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
				t.Errorf("stream ended with %v: %.300s", err, data[max(0, len(data)-300):])
			}
		})
	}
}

// begin opens a stream and returns it after its first bytes. Share holders grant
// nothing until their membership is accepted and a lease has passed, so that a
// request to a fleet that has just started is sent again.
func begin(ctx context.Context, t *testing.T, node *local.Node, secret string, tokens int) io.Reader {
	t.Helper()
	for {
		resp := send(ctx, t, node, secret, tokens)
		if resp.StatusCode == http.StatusOK {
			t.Cleanup(func() { _ = resp.Body.Close() })
			if _, err := io.ReadFull(resp.Body, make([]byte, 16)); err != nil {
				t.Fatal(err)
			}
			return resp.Body
		}
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if !strings.Contains(string(data), `"code":"quota_unavailable"`) {
			t.Fatalf("status %d: %s", resp.StatusCode, data)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func send(ctx context.Context, t *testing.T, node *local.Node, secret string, tokens int) *http.Response {
	t.Helper()
	body := `{"model":"plume-greeting","stream":true,"max_tokens":` + strconv.Itoa(tokens) + `,"messages":[{"role":"user","content":"A greeting"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, node.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// TestRevocationOnAllInstances guards against a stream that outlives its key at
// an instance other than the one that revoked it, an end that does not say why,
// and an instance that still takes the key 3 s after the revocation.
func TestRevocationOnAllInstances(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // ends a test that hangs
	defer cancel()
	cluster, err := local.Start(ctx, local.Options{
		Deployments: []standin.Config{standin.UCAB()},
		Sites:       []local.Site{{ID: "a", Domain: "rennes"}, {ID: "b", Domain: "brest"}, {ID: "c", Domain: "vannes"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	nodes := cluster.Nodes()
	key, err := nodes[0].Admin.CreateKey(ctx, &admin.CreateKeyRequest{Customer: "shops"})
	if err != nil {
		t.Fatal(err)
	}
	var streams []io.Reader
	for _, n := range nodes {
		streams = append(streams, begin(ctx, t, n, key.Secret, 4000))
	}
	revoked := time.Now()
	if _, err := nodes[0].Admin.RevokeKey(ctx, &admin.RevokeKeyRequest{Id: key.Key.Id}); err != nil {
		t.Fatal(err)
	}
	for i, s := range streams {
		data, err := io.ReadAll(s)
		events := strings.Split(strings.TrimSpace(string(data)), "\n\n")
		last := events[len(events)-1]
		if err != nil || !strings.Contains(last, `"code":"key_revoked"`) || !strings.Contains(last, `"run":"ran"`) {
			t.Errorf("instance %s: %v, last event %s", nodes[i].Site.ID, err, last)
		}
	}
	if took := time.Since(revoked); took > 3*time.Second {
		t.Errorf("streams ended %v after the revocation", took)
	}
	for _, n := range nodes {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, n.URL+"/v1/models", nil)
		req.Header.Set("Authorization", "Bearer "+key.Secret)
		req.Close = true
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusUnauthorized {
			t.Errorf("instance %s takes the revoked key: status %d", n.Site.ID, resp.StatusCode)
		}
	}
}
