package route

import (
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/fescuestep/fescuestep/pkg/code"
	"github.com/fescuestep/fescuestep/pkg/prompt"
)

// Fields that the router reads or sets. encoding/json matches names without
// regard to case and takes the last of several, engines may not; such a field
// would be charged by one rule and run by another.
var checkedFields = []string{"model", "stream", "max_tokens", "max_completion_tokens", "messages", "prompt", "n", "best_of"}

// replacedFields fields are written anew from the parsed prompt.
var replacedFields = map[string]bool{"stream": true, "max_tokens": true, "max_completion_tokens": true}

// rebuildBody returns the body for the engine. data has been parsed, so it is valid
// JSON. Values are copied as they are: parsing long prompts again would double
// the overhead of the request.
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

func checkField(name string, value gjson.Result, seen map[string]bool) error {
	for _, g := range checkedFields {
		if !strings.EqualFold(name, g) {
			continue
		}
		if name != g {
			return code.New(code.BadRequest, "the field %q must be written %q", name, g)
		}
		if seen[g] {
			return code.New(code.BadRequest, "the field %q stands twice", name)
		}
		seen[g] = true
	}
	several := name == "n" || name == "best_of"
	if several && value.Raw != "1" && value.Raw != "null" {
		return code.New(code.BadRequest, "the field %s must be 1", name)
	}
	return nil
}
