package hostile

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/fescuestep/fescuestep/examples"
	"github.com/fescuestep/fescuestep/pkg/external"
	"github.com/fescuestep/fescuestep/pkg/standin"
	"github.com/fescuestep/fescuestep/pkg/standin/host"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

const (
	// serveMemory and serveDescriptors are passed to the instance as settings.
	serveMemory      = 96 << 20
	serveDescriptors = 1024
	serveClients     = 360
	serveFields      = 5000 // below 32 KB, the limit of the listener for callers
	serveBody        = 256 << 10
	servePeers       = "hostile-peer-credential"
	serveAdmin       = "hostile-admin-credential"
)

// serve is an instance of `fescuestep serve` with its platform.
type serve struct {
	*process
	callers, peers, admin, metrics string // addresses
	key                            string
}

// bearer adds a credential to requests.
type bearer string

func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+string(b))
	return http.DefaultTransport.RoundTrip(r)
}

func startServe(t *testing.T) *serve {
	t.Helper()
	platform, err := standin.StartPlatform(standin.PlatformOptions{}, host.Scale(1))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Close)
	cfg := standin.UCAB()
	cfg.Platform = platform
	fleet, err := standin.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	addrs := freeAddrs(t, 4)
	s := &serve{callers: addrs[0], peers: addrs[1], admin: addrs[2], metrics: addrs[3]}
	platform.List.Store.Put(external.Instance{ID: "router-0", Addr: s.peers, Pool: external.RouterPool, Domain: "rennes", State: external.Live})
	env := []string{
		"FESCUESTEP_PEER_CREDENTIAL=" + servePeers, "FESCUESTEP_ADMIN_CREDENTIAL=" + serveAdmin,
		"FESCUESTEP_MEMORY_LIMIT=96MiB", "FESCUESTEP_DESCRIPTOR_LIMIT=1024",
	}
	s.process = startProcess(t, env, "serve", "-instance-id", "router-0", "-failure-domain", "rennes",
		"-table", platform.Table.Addr(), "-objects", platform.Objects.Addr(), "-list", platform.List.Addr(),
		"-listen-callers", s.callers, "-listen-peers", s.peers, "-listen-admin", s.admin, "-listen-metrics", s.metrics,
		"-body-limit", "256KiB", "-body-timeout", "20s")
	s.configure(t)
	return s
}

// configure applies an example and creates a key.
func (s *serve) configure(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*startLimit)
	defer cancel()
	client := admin.NewAdminProtobufClient("http://"+s.admin, &http.Client{Transport: bearer(serveAdmin)})
	await(t, "the questionnaire is applied", func() bool {
		resp, err := client.Apply(ctx, &admin.ApplyRequest{Questionnaire: string(examples.All()["ucab"])})
		return err == nil && len(resp.Mistakes) == 0
	})
	await(t, "a key is created", func() bool {
		resp, err := client.CreateKey(ctx, &admin.CreateKeyRequest{Customer: "shops"})
		if err == nil {
			s.key = resp.GetSecret()
		}
		return err == nil
	})
	await(t, "the key is accepted", func() bool { return s.models() == nil })
}

func (s *serve) models() error {
	return ordinary(http.MethodGet, "http://"+s.callers+"/v1/models", s.key, "", http.StatusOK)
}

// completion sends a request with a body that names a model that is not configured.
func (s *serve) completion() error {
	return ordinary(http.MethodPost, "http://"+s.callers+"/v1/chat/completions", s.key,
		`{"model":"none","messages":[{"role":"user","content":"x"}]}`, http.StatusNotFound)
}

// targets returns every place that a caller of the instance can reach.
func (s *serve) targets() []Target {
	at := func(addr, path, credential string) Target {
		t := Target{Addr: addr, Method: http.MethodPost, Path: path, Body: serveBody, Fields: serveFields}
		if credential != "" {
			t.Header = "Authorization: Bearer " + credential + "\r\n"
		}
		return t
	}
	return []Target{
		at(s.callers, "/v1/chat/completions", s.key), at(s.callers, "/v1/chat/completions", ""), at(s.callers, "/nowhere/", s.key),
		at(s.callers, "/readyz", ""), at(s.peers, "/twirp/fescuestep.peer.Peer/Sync", servePeers),
		at(s.admin, "/twirp/fescuestep.admin.Admin/Instances", serveAdmin), at(s.admin, "/nowhere", ""), at(s.metrics, "/metrics", ""),
	}
}

// surviveServe plays a crowd and checks that the instance lives within its settings and answers.
func surviveServe(t *testing.T, k Kind) {
	t.Helper()
	s := startServe(t)
	crowd, err := Start(t.Context(), k, serveClients, s.targets()...)
	if err != nil {
		t.Fatal(err)
	}
	defer crowd.Close()
	crowd.AwaitPlayed(playLimit)
	time.Sleep(holdTime)
	try(t, "a list of models", s.models)
	try(t, "a request with a body", s.completion)
	try(t, "a look at the metrics", func() error {
		return ordinary(http.MethodGet, "http://"+s.metrics+"/metrics", "", "", http.StatusOK)
	})
	s.check(serveMemory, serveDescriptors)
}

// TestServeSurvivesStalledBody guards against bodies of legal size that lack their last byte and hold all memory for bodies.
func TestServeSurvivesStalledBody(t *testing.T) { surviveServe(t, StalledBody) }

// TestServeSurvivesStalledPieces guards against the same in small pieces.
func TestServeSurvivesStalledPieces(t *testing.T) { surviveServe(t, StalledPieces) }

// TestServeSurvivesStalledChunks guards against the same in chunks, whose length is not known before.
func TestServeSurvivesStalledChunks(t *testing.T) { surviveServe(t, StalledChunks) }

// TestServeSurvivesHugeBody guards against bodies that are read although they are far over the limit.
func TestServeSurvivesHugeBody(t *testing.T) { surviveServe(t, HugeBody) }

// TestServeSurvivesHugeChunks guards against the same in chunks.
func TestServeSurvivesHugeChunks(t *testing.T) { surviveServe(t, HugeChunks) }

// TestServeSurvivesManyFields guards against header fields that take many times their size in memory.
func TestServeSurvivesManyFields(t *testing.T) { surviveServe(t, ManyFields) }

// TestServeSurvivesPipelined guards against answers that pile up because nobody reads them.
func TestServeSurvivesPipelined(t *testing.T) { surviveServe(t, Pipelined) }

// TestServeSurvivesSlowSender guards against connections that send a byte now and then.
func TestServeSurvivesSlowSender(t *testing.T) { surviveServe(t, SlowSender) }

// TestServeSurvivesSlowReader guards against answers that are read a few bytes at a time.
func TestServeSurvivesSlowReader(t *testing.T) { surviveServe(t, SlowReader) }

// TestServeSurvivesHalfHead guards against connections that stop in their request line.
func TestServeSurvivesHalfHead(t *testing.T) { surviveServe(t, HalfHead) }
