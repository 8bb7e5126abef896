// Package prompt parses request bodies of the chat completions and completions APIs
// as far as routing needs them.
package prompt

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// BytesPerToken is the factor to estimate the number of tokens of a prompt from its
// bytes, because the router has no tokenizer. 4 bytes per token is the usual mean for
// text in Latin script.
const BytesPerToken = 4

// DefaultMaxTokens is the output limit, in tokens, that is charged and sent to the
// engine when a request has none.
const DefaultMaxTokens = 256

// Kind is the API that a request body belongs to.
type Kind int

// Supported APIs.
const (
	Chat Kind = iota
	Completion
)

// Prompt is a parsed request body.
type Prompt struct {
	Kind      Kind
	Model     string
	Stream    bool
	MaxTokens int    // output limit in tokens
	Text      []byte // rendered prompt, which is divided into blocks
}

// EstimatedTokens returns the estimated prompt length in tokens, at least 1.
func (p *Prompt) EstimatedTokens() int {
	return max(1, (len(p.Text)+BytesPerToken-1)/BytesPerToken)
}

// Parse parses a request body. Field names are case-sensitive; if a field occurs
// several times, the last one counts. The texts of errors are suitable for the client.
//
// Prompts are long, so Parse uses gjson, which validates and reads them several times
// faster than encoding/json. The latter took most of the router's time per request.
func Parse(kind Kind, data []byte) (*Prompt, error) {
	root := gjson.ParseBytes(data)
	if !gjson.ValidBytes(data) || !root.IsObject() {
		return nil, errors.New("the body is not a JSON object")
	}
	p := &Prompt{Kind: kind, MaxTokens: DefaultMaxTokens}
	var content gjson.Result
	var err error
	root.ForEach(func(key, value gjson.Result) bool {
		name := key.String()
		if name == contentField(kind) {
			content = value
		}
		err = p.setField(name, value)
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	if p.Model == "" {
		return nil, errors.New("the field model is missing")
	}
	if p.MaxTokens < 1 {
		return nil, errors.New("max_tokens must be at least 1")
	}
	p.Text, err = renderText(kind, content)
	if err != nil {
		return nil, err
	}
	return p, nil
}

// contentField returns the name of the field that contains the prompt.
func contentField(kind Kind) string {
	if kind == Chat {
		return "messages"
	}
	return "prompt"
}

// setField sets p from a field of the request body. It ignores unknown fields and
// null values.
func (p *Prompt) setField(name string, value gjson.Result) (err error) {
	if value.Type == gjson.Null {
		return nil
	}
	switch name {
	case "model":
		if value.Type != gjson.String {
			return errors.New("the field model must be a string")
		}
		p.Model = value.String()
	case "stream":
		if !value.IsBool() {
			return errors.New("the field stream must be true or false")
		}
		p.Stream = value.Bool()
	case "max_tokens", "max_completion_tokens":
		p.MaxTokens, err = strconv.Atoi(value.Raw)
		if err != nil {
			return errors.Newf("the field %s must be a whole number", name)
		}
	}
	return nil
}

func renderText(kind Kind, content gjson.Result) ([]byte, error) {
	if kind == Chat {
		return renderMessages(content)
	}
	if content.Type != gjson.String || content.Str == "" {
		return nil, errors.New("the field prompt must be a non-empty string")
	}
	return []byte(content.Str), nil
}

func renderMessages(messages gjson.Result) (out []byte, err error) {
	if !messages.IsArray() {
		return nil, errors.New("the field messages is missing or not a list")
	}
	out = make([]byte, 0, len(messages.Raw))
	messages.ForEach(func(_, m gjson.Result) bool {
		if !m.IsObject() {
			err = errors.New("a message must be an object")
			return false
		}
		out, err = appendMessage(out, m)
		return err == nil
	})
	if err == nil && len(out) == 0 {
		err = errors.New("the field messages is empty")
	}
	return out, err
}

func appendMessage(out []byte, m gjson.Result) ([]byte, error) {
	var role, content gjson.Result
	m.ForEach(func(key, value gjson.Result) bool {
		switch key.String() {
		case "role":
			role = value
		case "content":
			content = value
		}
		return true
	})
	if role.Type != gjson.String && role.Type != gjson.Null {
		return nil, errors.New("the role of a message must be a string")
	}
	out = append(out, role.Str...)
	out = append(out, '\n')
	out, err := appendContent(out, content)
	return append(out, '\n'), err
}

var errInvalidContent = errors.New("message content must be a string or a list of text parts")

func appendContent(out []byte, content gjson.Result) ([]byte, error) {
	switch {
	case content.Type == gjson.Null || content.Type == gjson.String:
		return append(out, content.Str...), nil
	case !content.IsArray():
		return out, errInvalidContent
	}
	var err error
	content.ForEach(func(_, part gjson.Result) bool {
		kind, text := part.Get("type"), part.Get("text")
		switch {
		case !part.IsObject():
			err = errInvalidContent
		case kind.String() != "text":
			err = errors.Newf("content parts of type %q are not supported", kind.String())
		case text.Type != gjson.String:
			err = errInvalidContent
		}
		out = append(out, text.Str...)
		return err == nil
	})
	return out, err
}
