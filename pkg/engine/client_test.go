package engine_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/fescuestep/fescuestep/pkg/engine"
)

func serve(t *testing.T, handler http.HandlerFunc) (addr string, client *engine.Client) {
	t.Helper()
	server := httptest.NewServer(handler)
	client = engine.NewClient(engine.Options{})
	t.Cleanup(func() { client.Close(); server.Close() })
	return server.Listener.Addr().String(), client
}

// TestDoKeepsRequest guards against the client changing the method, path, query
// or body, adding Accept-Encoding, or following redirects.
func TestDoKeepsRequest(t *testing.T) {
	addr, client := serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Seen", r.Method+" "+r.URL.RequestURI()+" "+string(body)+" ["+r.Header.Get("Accept-Encoding")+"]")
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	})
	req := httptest.NewRequest(http.MethodPost, "/orders/a%2Fb?x=1", strings.NewReader("body"))
	resp, err := client.Do(context.Background(), addr, req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if got := resp.Header.Get("X-Seen"); got != "POST /orders/a%2Fb?x=1 body []" || resp.StatusCode != http.StatusTemporaryRedirect {
		t.Errorf("upstream saw %q, status %d", got, resp.StatusCode)
	}
}

// TestCallErrors guards against errors that do not say whether an upstream may
// have accepted a command, and against unlimited response bodies.
func TestCallErrors(t *testing.T) {
	respond := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}
	}
	var status *engine.StatusError
	addr, client := serve(t, respond(http.StatusTeapot, "short and stout"))
	if _, err := client.Load(context.Background(), addr); !errors.As(err, &status) || status.Status != http.StatusTeapot {
		t.Errorf("got %v, want a StatusError with 418", err)
	}
	addr, client = serve(t, respond(http.StatusConflict, `{"stale":true,"fencing_token":9}`))
	if result, err := client.Control(context.Background(), addr, engine.Command{FencingToken: 8}); err != nil || !result.Stale {
		t.Errorf("got %+v, %v, want a stale result", result, err)
	}
	addr, client = serve(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	if _, err := client.Control(context.Background(), addr, engine.Command{}); err == nil || engine.NotSent(err) {
		t.Errorf("got %v, want an error for which NotSent is false", err)
	}
	addr, client = serve(t, respond(http.StatusOK, strings.Repeat(" ", engine.MaxEventBytes+1)))
	if _, err := client.Load(context.Background(), addr); err == nil {
		t.Error("a response above the size limit was accepted")
	}
}
