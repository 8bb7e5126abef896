// Package suggest finds the known name that a misspelt one probably means.
package suggest

import (
	"fmt"
	"strings"
)

// MaxLength bounds the names that are compared, because the comparison takes
// time proportional to the product of their lengths.
const MaxLength = 128

// Closest returns the known name with the smallest edit distance to name, or
// the empty string when more than half of the name would have to change.
func Closest(name string, known []string) string {
	return Within(name, known, len(name)/2)
}

// Within is Closest with a given largest edit distance.
func Within(name string, known []string, most int) string {
	if len(name) > MaxLength {
		return ""
	}
	best, bestDistance := "", most+1
	for _, candidate := range known {
		d := distance(strings.ToLower(name), strings.ToLower(candidate), bestDistance)
		if d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// DidYouMean words a suggestion; it is empty for an empty name.
func DidYouMean(name string) string {
	if name == "" {
		return ""
	}
	return fmt.Sprintf("did you mean %q?", name)
}

// distance returns the edit distance of a and b with adjacent transpositions
// counted as one step, or bound when it is at least bound.
func distance(a, b string, bound int) int {
	if abs(len(a)-len(b)) >= bound {
		return bound
	}
	var beforeLast []int
	last := make([]int, len(b)+1)
	for j := range last {
		last[j] = j
	}
	for i := 1; i <= len(a); i++ {
		row := make([]int, len(b)+1)
		row[0] = i
		for j := 1; j <= len(b); j++ {
			row[j] = min(last[j]+1, row[j-1]+1, last[j-1]+differ(a[i-1], b[j-1]))
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				row[j] = min(row[j], beforeLast[j-2]+1)
			}
		}
		beforeLast, last = last, row
	}
	return min(last[len(b)], bound)
}

func differ(a, b byte) int {
	if a == b {
		return 0
	}
	return 1
}

func abs(n int) int {
	return max(n, -n)
}
