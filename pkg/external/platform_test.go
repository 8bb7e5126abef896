package external_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/fescuestep/fescuestep/pkg/external"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestStatusErrors guards against an answer whose status promises nothing
// being reported as "not written", and against a repeated write.
func TestStatusErrors(t *testing.T) {
	cases := []struct {
		status int
		want   error
	}{
		{http.StatusOK, nil}, {http.StatusNoContent, nil},
		{http.StatusServiceUnavailable, external.ErrUnavailable},
		{http.StatusTooManyRequests, external.ErrUnavailable},
		{http.StatusInternalServerError, external.ErrOutcomeUnknown},
		{http.StatusBadGateway, external.ErrOutcomeUnknown},
		{http.StatusTemporaryRedirect, external.ErrOutcomeUnknown},
	}
	for _, c := range cases {
		calls := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls++
			w.Header().Set("Location", "/")
			w.WriteHeader(c.status)
		}))
		objects := external.NewObjectClient(server.Listener.Addr().String(), time.Minute)
		table := external.NewTableClient(server.Listener.Addr().String(), time.Minute)
		if err := objects.Put(context.Background(), "k", []byte("v")); !errors.Is(err, c.want) {
			t.Errorf("object, status %d: got %v, want %v", c.status, err, c.want)
		}
		// A table answer that Twirp did not write may come from anywhere.
		_, err := table.Commit(context.Background(), external.Txn{Token: "t"})
		if c.want != nil && !errors.Is(err, external.ErrOutcomeUnknown) {
			t.Errorf("table, status %d: got %v, want ErrOutcomeUnknown", c.status, err)
		}
		objects.Close()
		table.Close()
		server.Close()
		if calls != 2 {
			t.Errorf("status %d: %d requests for two calls", c.status, calls)
		}
	}
}

// TestListMalformed guards against instances being taken for gone because the
// list could not be read.
func TestListMalformed(t *testing.T) {
	for _, body := range []string{"", "null", "{}", `[{"id":""}]`, `[{"id":"a"},{"id":"a"}]`, `[{"id":"a"}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		client := external.NewListClient(server.Listener.Addr().String(), time.Minute)
		if instances, err := client.List(context.Background()); !errors.Is(err, external.ErrUnavailable) {
			t.Errorf("%q: got %v, %v, want ErrUnavailable", body, instances, err)
		}
		client.Close()
		server.Close()
	}
}

func FuzzDecodeInstances(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		instances, err := external.DecodeInstances(data)
		if err == nil && bytes.TrimSpace(data)[0] != '[' {
			t.Errorf("accepted %q as %v", data, instances)
		}
	})
}
