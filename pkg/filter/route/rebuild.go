package route

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/prompt"
)

// Fields that the router reads or sets. encoding/json matches names without
// regard to case, engines do not; a variant would be charged by one rule and
// run by another.
var guarded = []string{"model", "stream", "max_tokens", "max_completion_tokens", "messages", "prompt", "n", "best_of"}

// rebuild returns the body for the engine.
func rebuild(p *prompt.Prompt, data []byte) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, code.New(code.BadRequest, "the body is not a JSON object")
	}
	for name := range fields {
		for _, g := range guarded {
			if name != g && strings.EqualFold(name, g) {
				return nil, code.New(code.BadRequest, "the field %q must be written %q", name, g)
			}
		}
	}
	for _, name := range []string{"n", "best_of"} {
		if raw, ok := fields[name]; ok && string(raw) != "1" && string(raw) != "null" {
			return nil, code.New(code.BadRequest, "the field %s must be 1", name)
		}
	}
	delete(fields, "max_completion_tokens")
	fields["max_tokens"] = json.RawMessage(strconv.Itoa(p.MaxTokens))
	fields["stream"] = json.RawMessage(strconv.FormatBool(p.Stream))
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, code.New(code.BadRequest, "the body cannot be encoded")
	}
	return out, nil
}
