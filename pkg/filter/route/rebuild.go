package route

import (
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/prompt"
)

// checkedFields are the fields that the router reads or sets. encoding/json
// ignores the case of names and takes the last of several equal ones, while
// engines may not. The router would then charge for another value than the
// engine uses.
var checkedFields = []string{"model", "stream", "max_tokens", "max_completion_tokens", "messages", "prompt", "n", "best_of"}

// replacedFields are written from the parsed prompt instead of being copied.
var replacedFields = map[string]bool{"stream": true, "max_tokens": true, "max_completion_tokens": true}

// rebuildBody returns the body for the engine. data must be valid JSON. Values
// are copied unparsed, because parsing long prompts again would double the
// overhead of the request.
func rebuildBody(p *prompt.Prompt, data []byte) (out []byte, err error) {
	out = make([]byte, 0, len(data)+64) // room for the replaced fields
	out = append(out, `{"stream":`...)
	out = strconv.AppendBool(out, p.Stream)
	out = append(out, `,"max_tokens":`...)
	out = strconv.AppendInt(out, int64(p.MaxTokens), 10)
	seen := map[string]bool{}
	gjson.ParseBytes(data).ForEach(func(key, value gjson.Result) bool {
		name := key.String()
		if err = checkField(name, value, seen); err != nil {
			return false
		}
		if !replacedFields[name] {
			out = append(out, ',')
			out = append(out, key.Raw...)
			out = append(out, ':')
			out = append(out, value.Raw...)
		}
		return true
	})
	return append(out, '}'), err
}

// checkField rejects a checked field that is repeated or written in another case,
// and requests for more than one choice. It adds the field to seen.
func checkField(name string, value gjson.Result, seen map[string]bool) error {
	for _, field := range checkedFields {
		if !strings.EqualFold(name, field) {
			continue
		}
		if name != field {
			return code.New(code.BadRequest, "the field %q must be written %q", name, field)
		}
		if seen[field] {
			return code.New(code.BadRequest, "the field %q stands twice", name)
		}
		seen[field] = true
	}
	isChoiceCount := name == "n" || name == "best_of"
	if isChoiceCount && value.Raw != "1" && value.Raw != "null" {
		return code.New(code.BadRequest, "the field %s must be 1", name)
	}
	return nil
}
