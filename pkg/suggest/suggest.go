// Package suggest finds the known name closest to a misspelled one.
package suggest

import (
	"fmt"
	"strings"
)

// MaxLength is the length in bytes above which a name gets no suggestion. It
// bounds the cost of a comparison, which is proportional to the product of the
// two names' lengths.
const MaxLength = 128

// Closest returns the known name with the smallest case-insensitive edit
// distance to name, or the empty string if every distance exceeds half of
// name's length.
func Closest(name string, known []string) string {
	return ClosestWithin(name, known, len(name)/2)
}

// ClosestWithin is like Closest, but with maxDistance as the largest accepted
// edit distance.
func ClosestWithin(name string, known []string, maxDistance int) string {
	if len(name) > MaxLength {
		return ""
	}
	best, bestDistance := "", maxDistance+1
	for _, candidate := range known {
		d := distance(strings.ToLower(name), strings.ToLower(candidate), bestDistance)
		if d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// DidYouMean returns the text of a suggestion, or the empty string if name is
// empty.
func DidYouMean(name string) string {
	if name == "" {
		return ""
	}
	return fmt.Sprintf("did you mean %q?", name)
}

// distance returns the optimal string alignment distance of a and b in bytes:
// the edit distance in which swapping two adjacent bytes counts as one edit. It
// returns bound if the distance is at least bound.
func distance(a, b string, bound int) int {
	if abs(len(a)-len(b)) >= bound {
		return bound
	}
	var prevPrev []int
	prev := make([]int, len(b)+1)
	for j := range prev {
		prev[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row := make([]int, len(b)+1)
		row[0] = i
		for j := 1; j <= len(b); j++ {
			row[j] = min(prev[j]+1, row[j-1]+1, prev[j-1]+substitutionCost(a[i-1], b[j-1]))
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], prevPrev[j-2]+1)
			}
		}
		prevPrev, prev = prev, row
	}
	return min(prev[len(b)], bound)
}

func substitutionCost(a, b byte) int {
	if a == b {
		return 0
	}
	return 1
}

func abs(n int) int {
	return max(n, -n)
}
