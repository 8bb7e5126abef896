package questionnaire

import (
	"regexp"
	"strings"
)

var notInName = regexp.MustCompile(`[^a-z0-9]+`)

// asName returns text in the form that names must have, or the empty string.
func asName(text string) string {
	name := strings.Trim(notInName.ReplaceAllString(strings.ToLower(text), "-"), "-")
	if !namePattern.MatchString(name) {
		return ""
	}
	return name
}
