package httpconn

import (
	"hash/maphash"
	"slices"
)

// maxAnswered is the number of requests of a connection, the latest ones, of which a second
// copy of the response is recognized.
const maxAnswered = 64

var answeredSeed = maphash.MakeSeed()

// answeredRequests holds hashes of the IDs of the latest requests that were answered on a
// connection. IDs come from callers and may be long. Its zero value is empty.
type answeredRequests struct {
	hashes []uint64
	next   int // index of the oldest hash when hashes is full
}

func (a *answeredRequests) add(id string) {
	hash := maphash.String(answeredSeed, id)
	if len(a.hashes) < maxAnswered {
		a.hashes = append(a.hashes, hash)
		return
	}
	a.hashes[a.next] = hash
	a.next = (a.next + 1) % maxAnswered
}

func (a *answeredRequests) contains(id string) bool {
	return slices.Contains(a.hashes, maphash.String(answeredSeed, id))
}
