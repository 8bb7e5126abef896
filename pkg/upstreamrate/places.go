package upstreamrate

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// dealtPlaces says whose the places of an upstream are.
type dealtPlaces struct {
	places     int
	own        int
	owners     []string // of the first places; then the dealing begins again
	generation uint64   // of the known instances
}

// OwnPlaces returns how many of an upstream's places for requests that run at once are
// this instance's. They are dealt to the known instances in turn, in an order by hashing
// of instance and upstream, so that the remainders of all upstreams spread.
func (l *Limits) OwnPlaces(upstream string, places int) int { return l.dealt(upstream, places).own }

// PlaceOwner returns the instance whose place n is, from 0 up to places - 1.
func (l *Limits) PlaceOwner(upstream string, places, n int) string {
	owners := l.dealt(upstream, places).owners
	return owners[n%len(owners)]
}

func (l *Limits) dealt(upstream string, places int) dealtPlaces {
	if known, ok := l.places[upstream]; ok && known.places == places && known.generation == l.generation {
		return known
	}
	seed := xxh3.HashString(upstream)
	owners := append(slices.Collect(maps.Keys(l.instances)), l.self)
	slices.SortFunc(owners, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxh3.HashStringSeed(b, seed), xxh3.HashStringSeed(a, seed)), cmp.Compare(a, b))
	})
	own := places / len(owners)
	if slices.Index(owners, l.self) < places%len(owners) {
		own++
	}
	d := dealtPlaces{places, own, slices.Clone(owners[:min(places, len(owners))]), l.generation}
	l.places[upstream] = d
	return d
}
