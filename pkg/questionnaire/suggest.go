package questionnaire

import (
	"regexp"
	"strings"
)

// closest returns the known name with the smallest edit distance to name, or
// the empty string when none is close enough to be a likely typing mistake.
func closest(name string, known []string) string {
	best, bestDistance := "", len(name)/2+1
	for _, candidate := range known {
		d := distance(strings.ToLower(name), strings.ToLower(candidate), bestDistance)
		if d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best
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

var notInName = regexp.MustCompile(`[^a-z0-9]+`)

// asName returns text in the form that names must have, or the empty string.
func asName(text string) string {
	name := strings.Trim(notInName.ReplaceAllString(strings.ToLower(text), "-"), "-")
	if !namePattern.MatchString(name) {
		return ""
	}
	return name
}
