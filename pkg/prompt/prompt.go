// Package prompt parses the bodies of the chat-completions and completions
// API as far as routing needs them.
package prompt

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// BytesPerToken converts prompt bytes to tokens. The router has no tokenizer;
// 4 bytes a token is the usual mean for Latin-script text.
const BytesPerToken = 4

// DefaultMaxTokens is charged and sent when a request names no output limit.
const DefaultMaxTokens = 256

// Kind distinguishes the two API shapes.
type Kind int

// API shapes.
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
	Text      []byte // the rendered prompt that blocks are cut from
}

// Tokens returns the estimated prompt length in tokens, at least 1.
func (p *Prompt) Tokens() int {
	return max(1, (len(p.Text)+BytesPerToken-1)/BytesPerToken)
}

type body struct {
	Model               string    `json:"model"`
	Stream              bool      `json:"stream"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
	Messages            []message `json:"messages"`
	Prompt              any       `json:"prompt"`
}

// Content is a string or a list of parts. It is decoded together with the body:
// a second pass over long prompts would be a large part of their overhead.
type message struct {
	Role    string `json:"role"`
	Content any    `json:"content"`
}

// Parse reads a request body. Its errors are fit to be shown to the caller.
func Parse(kind Kind, data []byte) (*Prompt, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, errors.Wrap(err, "the body is not valid JSON for this API")
	}
	if b.Model == "" {
		return nil, errors.New("the field model is missing")
	}
	p := &Prompt{Kind: kind, Model: b.Model, Stream: b.Stream, MaxTokens: DefaultMaxTokens}
	if b.MaxTokens != nil {
		p.MaxTokens = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil {
		p.MaxTokens = *b.MaxCompletionTokens
	}
	if p.MaxTokens < 1 {
		return nil, errors.New("max_tokens must be at least 1")
	}
	var err error
	if kind == Chat {
		p.Text, err = renderMessages(b.Messages)
	} else {
		p.Text, err = renderPrompt(b.Prompt)
	}
	if err != nil {
		return nil, err
	}
	return p, nil
}

func renderMessages(messages []message) ([]byte, error) {
	if len(messages) == 0 {
		return nil, errors.New("the field messages is missing or empty")
	}
	var out bytes.Buffer
	for _, m := range messages {
		out.WriteString(m.Role)
		out.WriteByte('\n')
		text, err := contentText(m.Content)
		if err != nil {
			return nil, err
		}
		out.WriteString(text)
		out.WriteByte('\n')
	}
	return out.Bytes(), nil
}

func contentText(content any) (string, error) {
	switch c := content.(type) {
	case nil:
		return "", nil
	case string:
		return c, nil
	case []any:
		return partsText(c)
	}
	return "", errContent
}

var errContent = errors.New("message content must be a string or a list of text parts")

func partsText(parts []any) (string, error) {
	var out strings.Builder
	for _, part := range parts {
		fields, ok := part.(map[string]any)
		if !ok {
			return "", errContent
		}
		if fields["type"] != "text" {
			return "", errors.Newf("content parts of type %q are not supported", fields["type"])
		}
		text, ok := fields["text"].(string)
		if !ok {
			return "", errContent
		}
		out.WriteString(text)
	}
	return out.String(), nil
}

func renderPrompt(p any) ([]byte, error) {
	if s, ok := p.(string); ok && s != "" {
		return []byte(s), nil
	}
	return nil, errors.New("the field prompt must be a non-empty string")
}
