package engine

import (
	"fmt"
	"strings"

	"github.com/zeebo/xxh3"
)

// Answers end by themselves after minAnswer to minAnswer+answerSpread-1
// tokens, depending on the prompt.
const (
	minAnswer    = 16
	answerSpread = 48
)

var words = [...]string{
	"ammonite", "basalt", "card", "dune", "ebb", "fern", "granite", "harbour",
	"island", "jetty", "kelp", "lantern", "mould", "north", "oyster", "plaster",
}

// Token returns token i of the answer to a prompt, counted from 0.
func Token(prompt []byte, i int) string {
	h := xxh3.HashSeed(prompt, uint64(i)+1)
	return fmt.Sprintf("%s-%03x ", words[h%uint64(len(words))], (h>>8)&0xfff)
}

// AnswerLength returns the number of tokens of the answer to a prompt and the
// finish reason.
func AnswerLength(prompt []byte, maxTokens int) (tokens int, finish string) {
	natural := minAnswer + int(xxh3.Hash(prompt)%answerSpread)
	if natural <= maxTokens {
		return natural, "stop"
	}
	return maxTokens, "length"
}

// Answer returns the whole answer to a prompt, so that callers can verify that
// what they received is complete.
func Answer(prompt []byte, maxTokens int) string {
	var out strings.Builder
	n, _ := AnswerLength(prompt, maxTokens)
	for i := range n {
		out.WriteString(Token(prompt, i))
	}
	return out.String()
}
