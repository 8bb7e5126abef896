// Package framing rejects HTTP/1.1 requests whose end two readers may see at different
// places, so that bytes of a body are never taken for a request. The package does no I/O.
package framing

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrAmbiguous is returned for bytes that are no request with one clear end (RFC 9112,
// sections 2.2, 5.1, 5.2, 6.1 and 7.1): both a length and a transfer coding, either one
// twice, another coding than chunked, folded or malformed header lines, line ends other
// than CR LF, and malformed chunk sizes.
var ErrAmbiguous = errors.New("the framing of the request is ambiguous")

type state int

const (
	requestLine state = iota
	headerLine
	body
	chunkSize
	chunkData
	chunkEnd
	trailerLine
)

const (
	// maxKeptLine is the length up to which lines are looked at; longer ones can be no
	// header that frames a request.
	maxKeptLine = 512
	// versionSuffix ends a request line.
	versionSuffix = " HTTP/1.1"
	// maxLengthDigits and maxSizeDigits bound lengths, so that none overflows.
	maxLengthDigits = 18
	maxSizeDigits   = 15
)

// Scanner follows the requests on one connection. The zero value expects a request.
type Scanner struct {
	state     state
	line      []byte                   // of the current line, at most maxKeptLine bytes
	length    int                      // of the current line
	spaces    int                      // in the current line
	tail      [len(versionSuffix)]byte // of the current line
	afterCR   bool
	remaining int64 // bytes of the body or chunk

	oldVersion bool // HTTP/1.0
	chunked    bool
	hasLength  bool

	headBytes int
	fields    int
	requests  int // complete ones so far
}

// Progress is how far the requests on a connection have come.
type Progress struct {
	Complete  int  // requests received so far
	Partial   bool // a request has begun and is not complete
	InBody    bool // its head is complete
	HeadBytes int  // of its head so far
	Fields    int  // header fields so far, with those of its trailer
}

// Progress returns how far the requests have come.
func (s *Scanner) Progress() Progress {
	inHead := s.state == requestLine || s.state == headerLine
	return Progress{
		Complete: s.requests, Partial: s.headBytes > 0, InBody: !inHead,
		HeadBytes: s.headBytes, Fields: s.fields,
	}
}

// Scan checks the next bytes of the connection. It returns how many of them come before
// the one that makes a request ambiguous, with ErrAmbiguous, or all.
func (s *Scanner) Scan(p []byte) (n int, err error) {
	for n < len(p) {
		if s.state == body || s.state == chunkData {
			n += s.skip(len(p) - n)
			continue
		}
		if !s.scanByte(p[n]) {
			return n, ErrAmbiguous
		}
		n++
	}
	return n, nil
}

// skip passes over bytes of a body or chunk.
func (s *Scanner) skip(available int) int {
	n := min(int64(available), s.remaining)
	if s.remaining -= n; s.remaining > 0 {
		return int(n)
	}
	if s.state == body {
		s.begin()
	} else {
		s.state = chunkEnd
	}
	return int(n)
}

// begin expects a request after a complete one.
func (s *Scanner) begin() { *s = Scanner{line: s.line[:0], requests: s.requests + 1} }

func (s *Scanner) scanByte(c byte) (ok bool) {
	if s.state == requestLine || s.state == headerLine || s.state == trailerLine {
		s.headBytes++
	}
	switch {
	case s.afterCR:
		return c == '\n' && s.endLine()
	case c == '\n':
		return false
	case c == '\r':
		s.afterCR = true
		return true
	}
	s.keep(c)
	return true
}

// keep records a byte of the current line.
func (s *Scanner) keep(c byte) {
	if s.state == requestLine {
		copy(s.tail[:], s.tail[1:])
		s.tail[len(s.tail)-1] = c
		if c == ' ' {
			s.spaces++
		}
	}
	if s.length++; s.length <= maxKeptLine {
		s.line = append(s.line, c)
	}
}

// endLine handles a whole line.
func (s *Scanner) endLine() (ok bool) {
	line, length, spaces := s.line, s.length, s.spaces
	s.line, s.length, s.spaces, s.afterCR = s.line[:0], 0, 0, false
	switch s.state {
	case requestLine:
		s.state = headerLine
		return s.endRequestLine(line, length, spaces)
	case headerLine:
		if length == 0 {
			return s.endHead()
		}
		s.fields++
		return s.endHeader(line, length)
	case chunkSize:
		return s.endChunkSize(line, length)
	case chunkEnd:
		s.state = chunkSize
		return length == 0
	default: // trailerLine
		if length == 0 {
			s.begin()
			return true
		}
		s.fields++
		name, _, ok := cutHeader(line)
		return ok && !framesRequest(name)
	}
}

// endRequestLine handles the line "METHOD target HTTP/1.1" or one that ends in HTTP/1.0. line
// is what was kept of it.
func (s *Scanner) endRequestLine(line []byte, length, spaces int) (ok bool) {
	method := bytes.IndexByte(line, ' ')
	if spaces != 2 || method <= 0 || length-method-1 <= len(versionSuffix) {
		return false
	}
	switch string(s.tail[:]) {
	case versionSuffix:
		return true
	case " HTTP/1.0":
		s.oldVersion = true
		return true
	}
	return false
}

func (s *Scanner) endHeader(line []byte, length int) (ok bool) {
	name, value, ok := cutHeader(line)
	switch {
	case !ok:
		return false
	case !framesRequest(name):
		return true
	case length > maxKeptLine || s.chunked || s.hasLength:
		return false
	case strings.EqualFold(name, "Transfer-Encoding"):
		s.chunked = true
		return strings.EqualFold(value, "chunked") && !s.oldVersion
	}
	s.hasLength = true
	if !isDigits(value, maxLengthDigits) {
		return false
	}
	s.remaining, _ = strconv.ParseInt(value, 10, 64) // checked
	return true
}

// endHead handles the end of a head.
func (s *Scanner) endHead() (ok bool) {
	switch {
	case s.chunked:
		s.state = chunkSize
	case s.remaining > 0:
		s.state = body
	default:
		s.begin()
	}
	return true
}

func (s *Scanner) endChunkSize(line []byte, length int) (ok bool) {
	if length > maxKeptLine {
		return false // an extension without end
	}
	size, _, _ := strings.Cut(string(line), ";")
	n, err := strconv.ParseUint(size, 16, 63)
	if err != nil || len(size) > maxSizeDigits || strings.ContainsAny(size, "+-_xX") {
		return false
	}
	s.remaining = int64(n)
	s.state = chunkData
	if n == 0 {
		s.state = trailerLine
	}
	return true
}

// cutHeader cuts a header line. It returns false unless a token precedes the colon.
func cutHeader(line []byte) (name, value string, ok bool) {
	before, after, found := bytes.Cut(line, []byte(":"))
	if !found || len(before) == 0 {
		return "", "", false
	}
	for _, c := range before {
		if c <= ' ' || c >= 0x7f {
			return "", "", false
		}
	}
	return string(before), strings.Trim(string(after), " \t"), true
}

// framesRequest reports whether a header says where a request ends.
func framesRequest(name string) bool {
	return strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding")
}

func isDigits(text string, most int) bool {
	return len(text) > 0 && len(text) <= most && strings.Trim(text, "0123456789") == ""
}
