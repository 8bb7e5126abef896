package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/google/subcommands"
	"github.com/twitchtv/twirp"

	"github.com/fescuestep/fescuestep/pkg/netopt"
	"github.com/fescuestep/fescuestep/pkg/settings"
	"github.com/fescuestep/fescuestep/rpc/admin"
)

// bearer adds the administration credential to every request.
type bearer struct {
	credential settings.Secret
	next       http.RoundTripper
}

// RoundTrip sends a request with the credential.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.credential.Reveal())
	return b.next.RoundTrip(r)
}

// newAdminClient returns a client of the administration service. Redirects
// are not followed, since they could lead the credential to another host.
func newAdminClient(c *settings.Client) (admin.Admin, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil // the address is an IP address in the operator's own network
	if c.CA != "" {
		pem, err := os.ReadFile(c.CA)
		if err != nil {
			return nil, errors.Wrap(err, "reading the authorities")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, errors.Newf("%s holds no PEM certificate", c.CA)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	client := &http.Client{
		Transport:     bearer{c.Credential, netopt.StrictResponses(transport)},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return admin.NewAdminProtobufClient(c.Admin, client), nil
}

// fail prints an error of the administration service.
func fail(s streams, err error) subcommands.ExitStatus {
	var te twirp.Error
	if errors.As(err, &te) {
		fmt.Fprintf(s.err, "fescuestep: %s (%s)\n", te.Msg(), te.Code())
	} else {
		fmt.Fprintf(s.err, "fescuestep: %v\n", err)
	}
	return subcommands.ExitFailure
}

// report prints whether a change is in force. A change that is not in force
// everywhere gives exit status 1, so that scripts notice.
func report(s streams, st *admin.Status) subcommands.ExitStatus {
	fmt.Fprintln(s.err, st.GetExplanation())
	if !st.GetInForce() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
