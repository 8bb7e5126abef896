package hostile

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"time"
)

// Kind is a kind of misbehaviour.
type Kind string

// Kinds of misbehaviour.
const (
	StalledBody   Kind = "stalled body"   // in one piece, without its last byte
	StalledPieces Kind = "stalled pieces" // the same in small pieces
	StalledChunks Kind = "stalled chunks" // the same in chunks without an end
	HugeBody      Kind = "huge body"      // announces far more than the limit and sends it
	HugeChunks    Kind = "huge chunks"    // sends chunks far beyond the limit
	ManyFields    Kind = "many fields"    // a head of very many short fields without its end
	Pipelined     Kind = "pipelined"      // many requests, no answer is read
	SlowSender    Kind = "slow sender"    // a few bytes now and then
	SlowReader    Kind = "slow reader"    // reads large answers a few bytes now and then
	HalfHead      Kind = "half a head"    // stops in the request line
)

// Kinds returns all kinds of misbehaviour.
func Kinds() []Kind {
	return []Kind{StalledBody, StalledPieces, StalledChunks, HugeBody, HugeChunks, ManyFields, Pipelined, SlowSender, SlowReader, HalfHead}
}

const (
	pieceBytes = 4 << 10
	piecePause = time.Millisecond
	// hugeFactor is how many times the legal size huge bodies send; they announce as much
	// again.
	hugeFactor = 4
	// pipelinedRequests are sent on one connection.
	pipelinedRequests = 500
	// slowPause is between the bytes of slow senders and readers.
	slowPause = 200 * time.Millisecond
)

// client is one connection of a crowd.
type client struct {
	net.Conn
	ctx    context.Context
	played func()
}

// player misbehaves on a connection until it ends.
type player func(c *client, t Target)

var plays = map[Kind]player{
	StalledBody:   stalledBody,
	StalledPieces: stalledPieces,
	StalledChunks: stalledChunks,
	HugeBody:      hugeBody,
	HugeChunks:    hugeChunks,
	ManyFields:    manyFields,
	Pipelined:     pipelined,
	SlowSender:    slowSender,
	SlowReader:    slowReader,
	HalfHead:      halfHead,
}

// head returns the request line and header lines without the empty line.
func (t Target) head(method, id string) string {
	host := t.Host
	if host == "" {
		host = "hostile.example"
	}
	return method + " " + t.Path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\n" + t.Header
}

func (t Target) lengthHead(length int) string {
	return t.head(t.Method, "stalled") + fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
}

func (t Target) chunkedHead() string {
	return t.head(t.Method, "chunks") + "Transfer-Encoding: chunked\r\n\r\n"
}

// send writes all of data and reports whether the connection still takes it.
func (c *client) send(data []byte) bool {
	_, err := c.Write(data)
	return err == nil
}

// stay reads nothing and waits until the connection ends. Closed connections show by a
// reset or an end of file after the answer, of which only the first bytes are read.
func (c *client) stay() {
	c.played()
	answer := make([]byte, 512)
	for {
		if _, err := c.Read(answer); err != nil {
			return
		}
	}
}

func (c *client) pause(d time.Duration) bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func stalledBody(c *client, t Target) {
	body := bytes.Repeat([]byte("b"), t.Body-1)
	if c.send([]byte(t.lengthHead(t.Body))) && c.send(body) {
		c.stay()
	}
}

func stalledPieces(c *client, t Target) {
	if !c.send([]byte(t.lengthHead(t.Body))) {
		return
	}
	for sent := 0; sent < t.Body-1; sent += pieceBytes {
		if !c.send(bytes.Repeat([]byte("p"), min(pieceBytes, t.Body-1-sent))) || !c.pause(piecePause) {
			return
		}
	}
	c.stay()
}

func sendChunks(c *client, t Target, total int) bool {
	if !c.send([]byte(t.chunkedHead())) {
		return false
	}
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, strings.Repeat("c", pieceBytes)))
	for sent := 0; sent+pieceBytes <= total; sent += pieceBytes {
		if !c.send(chunk) {
			return false
		}
	}
	return true
}

func stalledChunks(c *client, t Target) {
	if sendChunks(c, t, t.Body-1) {
		c.stay()
	}
}

func hugeBody(c *client, t Target) {
	if !c.send([]byte(t.lengthHead(2 * hugeFactor * t.Body))) {
		return
	}
	piece := bytes.Repeat([]byte("h"), pieceBytes)
	for sent := 0; sent < hugeFactor*t.Body; sent += pieceBytes {
		if !c.send(piece) {
			return
		}
	}
	c.stay()
}

func hugeChunks(c *client, t Target) {
	if sendChunks(c, t, hugeFactor*t.Body) {
		c.stay()
	}
}

func manyFields(c *client, t Target) {
	var b strings.Builder
	b.WriteString(t.head("GET", "fields"))
	for i := range t.Fields {
		fmt.Fprintf(&b, "%x:\r\n", 0x100+i)
	}
	if c.send([]byte(b.String())) {
		c.stay()
	}
}

func pipelined(c *client, t Target) {
	requests := strings.Repeat(t.head("GET", "pipelined")+"\r\n", pipelinedRequests)
	sent := c.send([]byte(requests))
	c.played()
	if sent {
		<-c.ctx.Done()
	}
}

func slowSender(c *client, t Target) {
	for _, b := range []byte(t.lengthHead(t.Body) + strings.Repeat("s", t.Body)) {
		if !c.send([]byte{b}) {
			return
		}
		c.played()
		if !c.pause(slowPause) {
			return
		}
	}
}

func slowReader(c *client, t Target) {
	if !c.send([]byte(t.head("GET", "reader") + "\r\n")) {
		return
	}
	c.played()
	for answer := make([]byte, 16); ; {
		if _, err := c.Read(answer); err != nil || !c.pause(slowPause) {
			return
		}
	}
}

func halfHead(c *client, t Target) {
	if c.send([]byte(t.Method + " " + t.Path[:len(t.Path)/2])) {
		c.stay()
	}
}
