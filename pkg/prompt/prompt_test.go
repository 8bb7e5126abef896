package prompt

import "testing"

// TestParse guards against a prompt, model or output limit that is parsed differently
// than by engines. The router uses them to predict cached blocks and to charge tokens.
func TestParse(t *testing.T) {
	const message = `"messages":[{"role":"user","content":"a\nb"}]`
	for body, want := range map[string]Prompt{
		`{"model":"m",` + message + `}`:                                               {Chat, "m", false, DefaultMaxTokens, []byte("user\na\nb\n")},
		`{"model":"\u006d","stream":true,"max_tokens":7,` + message + `}`:             {Chat, "m", true, 7, []byte("user\na\nb\n")},
		`{"model":"m","max_completion_tokens":9,"max_tokens":null,` + message + `}`:   {Chat, "m", false, 9, []byte("user\na\nb\n")},
		`{"model":"m","messages":[{"role":"assistant","content":null}]}`:              {Chat, "m", false, DefaultMaxTokens, []byte("assistant\n\n")},
		`{"model":"m","messages":[{"content":[{"type":"text","text":"a"}]}]}`:         {Chat, "m", false, DefaultMaxTokens, []byte("\na\n")},
		`{"model":"m","prompt":"é\u00e9"}`:                                            {Completion, "m", false, DefaultMaxTokens, []byte("éé")},
		`{"model":"m","messages":[{"role":"user","content":"a"}],"prompt":"ignored"}`: {Chat, "m", false, DefaultMaxTokens, []byte("user\na\n")},
	} {
		p, err := Parse(want.Kind, []byte(body))
		if err != nil {
			t.Errorf("%s: %v", body, err)
			continue
		}
		if p.Model != want.Model || p.Stream != want.Stream || p.MaxTokens != want.MaxTokens || string(p.Text) != string(want.Text) {
			t.Errorf("%s: got %+v with text %q", body, *p, p.Text)
		}
	}
	for _, body := range []string{
		``, `[]`, `{"model":"m",` + message, `{` + message + `}`, `{"model":1,` + message + `}`, `{"model":"m"}`,
		`{"model":"m","stream":"yes",` + message + `}`, `{"model":"m","max_tokens":1.5,` + message + `}`,
		`{"model":"m","max_tokens":0,` + message + `}`, `{"model":"m","messages":{}}`, `{"model":"m","messages":[]}`,
		`{"model":"m","messages":["a"]}`, `{"model":"m","messages":[{"role":1,"content":"a"}]}`,
		`{"model":"m","messages":[{"content":[{"type":"text"}]}]}`, `{"model":"m","messages":[{"content":{}}]}`,
	} {
		if p, err := Parse(Chat, []byte(body)); err == nil {
			t.Errorf("%s: accepted as %+v", body, *p)
		}
	}
	if _, err := Parse(Completion, []byte(`{"model":"m","prompt":["a"]}`)); err == nil {
		t.Error("accepted a list of prompts")
	}
}
