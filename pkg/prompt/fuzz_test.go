package prompt

import "testing"

// FuzzParse guards against a request body that crashes the parser, and against
// a parsed prompt without a model or with an output limit below one token.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hello"}]}`))
	f.Add([]byte(`{"model":"m","prompt":"hello","max_tokens":5,"stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Add([]byte(`{"model":"","messages":null,"max_tokens":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, kind := range []Kind{Chat, Completion} {
			p, err := Parse(kind, data)
			if err == nil && (p.Model == "" || p.MaxTokens < 1 || p.EstimatedTokens() < 1) {
				t.Errorf("kind %d: %+v", kind, p)
			}
		}
	})
}
