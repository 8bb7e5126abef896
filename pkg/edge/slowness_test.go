//go:build !race

package edge_test

// slowness is how many times slower narrow links are than 10 Mbit/s, and how many times
// longer what follows from them may take.
const slowness = 1
