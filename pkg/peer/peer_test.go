package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"go.uber.org/goleak"

	"github.com/fescuestep/fescuestep/pkg/peer"
	rpc "github.com/fescuestep/fescuestep/rpc/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// service is a stub of the peer service that counts Sync and Acquire calls.
type service struct {
	calls atomic.Int64
	hold  chan struct{} // when not nil, Acquire blocks until it is closed or the context ends
}

func (s *service) Sync(_ context.Context, r *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	s.calls.Add(1)
	return &rpc.SyncResponse{Id: "r1", Incarnation: "3f2a9c1e", Revision: r.Revision, Member: true, Fresh: true, AgeNs: 120e6, Accepted: r.Revision, Clear: true}, nil
}

func (s *service) Acknowledgements(context.Context, *rpc.AcknowledgementsRequest) (*rpc.AcknowledgementsResponse, error) {
	return &rpc.AcknowledgementsResponse{}, nil
}

func (s *service) Join(context.Context, *rpc.JoinRequest) (*rpc.JoinResponse, error) {
	return &rpc.JoinResponse{}, nil
}

func (s *service) Acquire(ctx context.Context, r *rpc.AcquireRequest) (*rpc.AcquireResponse, error) {
	s.calls.Add(1)
	if s.hold != nil {
		select {
		case <-s.hold:
		case <-ctx.Done():
		}
	}
	return &rpc.AcquireResponse{Incarnation: "3f2a9c1e", Fresh: true, Grants: []*rpc.Grant{{Customer: "guild", Tokens: 2000, Number: 77, GrantedAt: 5e9, Level: 9000, Rate: 25000, Burst: 12500}}}, nil
}

func (s *service) Return(context.Context, *rpc.ReturnRequest) (*rpc.ReturnResponse, error) {
	return &rpc.ReturnResponse{At: 1}, nil
}

func serve(t *testing.T, s *service) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(peer.Services{Syncer: s, Joiner: s, QuotaGranter: s}, "secret", nil)
	done := make(chan error, 1)
	go func() { done <- peer.Serve(server, l) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve: %v", err)
		}
	})
	return l.Addr().String()
}

// Guards against a peer port that answers without the credential.
func TestCredential(t *testing.T) {
	addr := serve(t, &service{})
	for credential, want := range map[string]twirp.ErrorCode{"secret": "", "wrong": twirp.Unauthenticated, "": twirp.Unauthenticated} {
		c := peer.NewClient(credential, nil, nil)
		_, err := c.Peer(addr).Sync(t.Context(), &rpc.SyncRequest{})
		var e twirp.Error
		got := twirp.ErrorCode("")
		if errors.As(err, &e) {
			got = e.Code()
		}
		if got != want {
			t.Errorf("credential %q: %v, want code %q", credential, err, want)
		}
		c.Close()
	}
}

// Guards against a cleartext port that other hosts can reach.
func TestCleartextNeedsLoopback(t *testing.T) {
	l, err := net.Listen("tcp", ":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if err := peer.Serve(peer.NewServer(peer.Services{}, "secret", nil), l); !errors.Is(err, peer.ErrCleartext) {
		t.Fatalf("error %v, want ErrCleartext", err)
	}
}

// Guards against a request that the transport sends again when the connection
// breaks: a repeated Acquire wastes a grant.
func TestNoTransportRetry(t *testing.T) {
	s := &service{hold: make(chan struct{})}
	addr := serve(t, s)
	conns := make(chan net.Conn, 8)
	c := peer.NewClient("secret", nil, func(n net.Conn) net.Conn {
		conns <- n
		return n
	})
	defer c.Close()
	go func() {
		for s.calls.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		_ = (<-conns).Close()
	}()
	if _, err := c.Peer(addr).Acquire(t.Context(), &rpc.AcquireRequest{}); err == nil {
		t.Fatal("the call succeeded on a broken connection")
	}
	close(s.hold)
	if got := s.calls.Load(); got != 1 {
		t.Fatalf("%d calls, want 1", got)
	}
}

// Guards against control traffic above 25 KB/s per instance: a relay is polled
// with Sync twice a second. The sizes are logged for docs/decisions-state.md.
func TestBytesOnTheWire(t *testing.T) {
	s := &service{}
	addr := serve(t, s)
	var counter peer.Counter
	c := peer.NewClient("secret", nil, counter.Wrap)
	defer c.Close()
	p := c.Peer(addr)
	measure := func(name string, call func(i int) error) int64 {
		const n = 200
		if err := call(0); err != nil { // opens the connection
			t.Fatal(err)
		}
		r0, w0 := counter.Bytes()
		for i := range n {
			if err := call(i); err != nil {
				t.Fatal(err)
			}
		}
		r, w := counter.Bytes()
		t.Logf("%-8s %d bytes sent, %d received", name, (w-w0)/n, (r-r0)/n)
		return (r - r0 + w - w0) / n
	}
	sync := measure("Sync", func(i int) error {
		_, err := p.Sync(t.Context(), &rpc.SyncRequest{Id: "entry-armor-03", Incarnation: "3f2a9c1e", Revision: 123456, HasState: true, Member: true, Clear: true})
		return err
	})
	measure("Acquire", func(i int) error {
		_, err := p.Acquire(t.Context(), &rpc.AcquireRequest{Id: "entry-armor-03", Incarnation: "3f2a9c1e", Asks: []*rpc.Ask{{Customer: "guild", Tokens: int64(2000 + i)}}})
		return err
	})
	measure("Return", func(i int) error {
		_, err := p.Return(t.Context(), &rpc.ReturnRequest{Id: "entry-armor-03", Incarnation: "3f2a9c1e", HolderIncarnation: "9d8c", Sequence: uint64(1000 + i),
			Settlements: []*rpc.Settlement{{Customer: "guild", Number: 77, GrantedAt: 5e9, Unused: 300, Spent: 1700}}})
		return err
	})
	if perSecond := 2 * sync; perSecond > 25_000/10 {
		t.Errorf("%s", fmt.Sprint("polls take ", perSecond, " bytes per second, more than a tenth of the budget"))
	}
}
