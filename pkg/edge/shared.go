package edge

import rpc "github.com/fescuestep/fescuestep/rpc/edge"

// sharedState is one kind of state that instances tell each other in digests. Values are
// totals or states, so that a lost, repeated or late digest does no harm. Implementations
// are safe for concurrent use.
type sharedState interface {
	// encode adds what is to be told to a digest. A partial one carries changes only and
	// is sent often. Introductions, which go to single instances, leave shared state out, so
	// that a change that was told to one instance does not count as told to all.
	encode(d *rpc.Digest, partial bool)
	// apply takes over what a digest of another instance tells. incarnation identifies
	// the process of the sender.
	apply(sender string, incarnation uint64, d *rpc.Digest)
	// forget drops what an instance told that was removed after its silence. It is called
	// with the lock of peers held and must not call peers.
	forget(sender string)
}
