package framing

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

const head = "POST /a HTTP/1.1\r\nHost: h\r\n"

// accepted are requests with one clear end, one after the other on a connection.
var accepted = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	head + "Content-Length: 3\r\n\r\nabc",
	head + "Content-Length:0\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
	head + "transfer-encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nX-T: 1\r\n\r\n",
	head + "Content-Length: 45\r\n\r\nGET / HTTP/1.1\r\nContent-Length: 1\r\nBad : 1\r\n\n",
	head + "X-Long: " + strings.Repeat("a", 4000) + "\r\n\r\n",
}

// rejected are requests whose end two readers may see at different places.
var rejected = []string{
	head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
	head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
	head + "Content-Length: 3, 3\r\n\r\nabc",
	head + "Content-Length: +3\r\n\r\nabc",
	head + "Content-Length: -3\r\n\r\nabc",
	head + "Content-Length: 0x3\r\n\r\nabc",
	head + "Content-Length: \r\n\r\nabc",
	head + "Content-Length: 9999999999999999999999\r\n\r\nabc",
	head + "Content-Length : 3\r\n\r\nabc",
	head + "X: a\r\n Content-Length: 3\r\n\r\nabc",
	head + "X: a\nContent-Length: 3\r\n\r\nabc",
	head + "X: a\r\n\n",
	head + "X: a\rb\r\n\r\n",
	head + "no colon\r\n\r\n",
	head + ": 1\r\n\r\n",
	head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	head + "Transfer-Encoding: identity\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\n\r\n3 \r\nabc\r\n0\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\n\r\n 3\r\nabc\r\n0\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\n\r\n3;" + strings.Repeat("x", 4000) + "\r\nabc\r\n0\r\n\r\n",
	head + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 3\r\n\r\n",
	"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST  /a HTTP/1.1\r\n\r\n",
	"POST /a\r\n\r\n",
	"\r\nGET / HTTP/1.1\r\n\r\n",
}

// scan passes data to a scanner in pieces of a size.
func scan(data string, size int) (s *Scanner, n int, err error) {
	s = &Scanner{}
	for n < len(data) && err == nil {
		var k int
		k, err = s.Scan([]byte(data[n:min(len(data), n+size)]))
		n += k
	}
	return s, n, err
}

// TestAmbiguousRequestsAreRejected guards against requests that stand in the body of another one for one reader and after it for another, however the bytes arrive, and against rejecting usual ones.
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	for _, size := range []int{1, 2, 7, 1 << 16} {
		s, _, err := scan(strings.Join(accepted, ""), size)
		if err != nil || s.state != requestLine {
			t.Errorf("in pieces of %d bytes: usual requests end in state %d, %v", size, s.state, err)
		}
		for _, data := range rejected {
			if _, n, err := scan(accepted[1]+data, size); !errors.Is(err, ErrAmbiguous) || n < len(accepted[1]) {
				t.Errorf("in pieces of %d bytes: %d bytes of %q pass: %v", size, n, data, err)
			}
		}
	}
}

// FuzzRequestsEndWhereTheLibraryEndsThem guards against a request that the scanner and net/http both accept and end at different places.
func FuzzRequestsEndWhereTheLibraryEndsThem(f *testing.F) {
	for _, data := range append(append([]string{}, accepted...), rejected...) {
		f.Add([]byte(data))
		f.Add([]byte(data + accepted[0]))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		source := bytes.NewReader(data)
		reader := bufio.NewReaderSize(source, 16)
		for {
			from := len(data) - source.Len() - reader.Buffered()
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			to := len(data) - source.Len() - reader.Buffered()
			var s Scanner
			if n, err := s.Scan(data[from:to]); err != nil {
				_ = n
				return // rejected here
			}
			if s.state != requestLine || s.length > 0 || s.afterCR {
				t.Fatalf("net/http ends a request at %d of %q, where the scanner is in state %d", to-from, data[from:], s.state)
			}
		}
	})
}

// TestTargetsOfEveryLengthAreAccepted guards against requests that are refused since their request line is a little longer than what is kept of a line.
func TestTargetsOfEveryLengthAreAccepted(t *testing.T) {
	for _, method := range []string{"GET", "POST", "OPTIONS"} {
		for length := 1; length < 3*maxKeptLine; length++ {
			line := method + " /" + strings.Repeat("a", length-1) + " HTTP/1.1"
			if _, err := new(Scanner).Scan([]byte(line + "\r\nHost: h\r\n\r\n")); err != nil {
				t.Errorf("%s with a target of %d bytes: %v", method, length, err)
			}
		}
	}
}

// TestOddRequestLinesOfEveryLengthAreRejected guards against a long request line that is looked at less than a short one.
func TestOddRequestLinesOfEveryLengthAreRejected(t *testing.T) {
	for length := 1; length < 3*maxKeptLine; length++ {
		target := "/" + strings.Repeat("a", length-1)
		for _, odd := range []string{
			"GET " + target, "GET " + target + " ", "GET " + target + "  HTTP/1.1", "GET  " + target + " HTTP/1.1", " GET " + target + " HTTP/1.1",
			"GET " + target + " x HTTP/1.1", "GET " + target + " HTTP/1.2", "GET" + target + " HTTP/1.1", " " + target + " HTTP/1.1",
		} {
			if _, err := new(Scanner).Scan([]byte(odd + "\r\nHost: h\r\n\r\n")); err == nil {
				t.Fatalf("accepted, with a target of %d bytes: %.20q...%q", length, odd, odd[max(0, len(odd)-12):])
			}
		}
		old := "POST " + target + " HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		if _, err := new(Scanner).Scan([]byte(old)); err == nil {
			t.Fatalf("chunks in HTTP/1.0 are accepted with a target of %d bytes", length)
		}
	}
}
