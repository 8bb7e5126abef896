//go:build race

package edge_test

// slowness is as without the race detector, which takes so many processors that links of
// 10 Mbit/s would not be what limits a test.
const slowness = 4
