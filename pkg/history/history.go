// Package history orders what the platform's store has written. The store may come
// back from an older copy: it then has lost its last transactions and gives their
// versions out again, in a new era.
package history

// Position is a place in the history of the store.
type Position struct {
	Era     uint64 // increases when the store comes back from an older copy; 0 if the store does not state it
	Version uint64 // increases with each transaction of an era
}

// Before reports whether p is an earlier position than q.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Version < q.Version
}
