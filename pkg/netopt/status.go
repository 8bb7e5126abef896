package netopt

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrInvalidStatus means that the status of a response is none of those that HTTP defines
// (RFC 9110, section 15), 100 to 599, or is 101, since no request asks for another protocol.
// The server is in trouble, and the rest of the response tells nothing either.
var ErrInvalidStatus = errors.New("status of the response is not valid")

const (
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns ErrInvalidStatus for a status that no response may have.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrInvalidStatus, "%03d", status)
	}
	return nil
}

// StrictResponses returns a transport that fails with ErrInvalidStatus on a response with a
// status that none may have, and whose bodies are whole or fail, see WholeResponses.
func StrictResponses(next http.RoundTripper) http.RoundTripper {
	return statusChecker{WholeResponses(next)}
}

type statusChecker struct{ next http.RoundTripper }

// RoundTrip sends a request and checks the status of its response.
func (c statusChecker) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := c.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport that is wrapped.
func (c statusChecker) CloseIdleConnections() { CloseIdle(c.next) }
