package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/fescuestep/fescuestep/pkg/code"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// chunk is what the demo reads of an event.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *errorBody `json:"error"`
}

type errorBody struct {
	Message    string        `json:"message"`
	ResultCode code.Code     `json:"result_code"`
	Run        code.RunState `json:"run"`
}

// streamAnswer is a whole streamed answer.
type streamAnswer struct {
	text       string
	events     int
	prompt     int // tokens
	cached     int // tokens
	firstToken time.Duration
}

// rendered returns the text that an engine sees of a one-message chat.
func rendered(prompt string) []byte { return []byte("user\n" + prompt + "\n") }

func (d *Demo) stream(ctx context.Context, node int, customer, model, prompt string, maxTokens int) (streamAnswer, error) {
	return d.streamFrom(ctx, d.node(node).URL, customer, model, prompt, maxTokens, func() {})
}

// streamFrom reads a whole stream; begun is called at the first token.
func (d *Demo) streamFrom(ctx context.Context, url, customer, model, prompt string, maxTokens int, begun func()) (streamAnswer, error) {
	var a streamAnswer
	started := time.Now()
	resp, err := d.post(ctx, url+"/v1/chat/completions", d.keys[customer].GetSecret(),
		chatRequest{Model: model, Stream: true, MaxTokens: maxTokens, Messages: []message{{"user", prompt}}}, nil)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return a, errors.Newf("status %d: %s", resp.StatusCode, body)
	}
	for e, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return a, errors.Wrap(err, "reading the stream")
		}
		if e.Data == "[DONE]" {
			return a, nil
		}
		if a.events == 0 {
			a.firstToken = time.Since(started)
			begun()
		}
		a.events++
		if err := a.add(e.Data); err != nil {
			return a, err
		}
	}
	return a, errors.New("the stream ended without its end marker")
}

func (a *streamAnswer) add(data string) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(err, "event is not JSON")
	}
	if c.Error != nil {
		return errors.Newf("the stream ended with result code %d: %s", c.Error.ResultCode, c.Error.Message)
	}
	for _, choice := range c.Choices {
		a.text += choice.Delta.Content
	}
	if c.Usage != nil {
		a.prompt, a.cached = c.Usage.PromptTokens, c.Usage.Details.CachedTokens
	}
	return nil
}

// answer is a whole non-streamed answer.
type answer struct {
	status int
	err    errorBody
}

func (d *Demo) call(ctx context.Context, node int, secret, model, prompt string, maxTokens int) (answer, error) {
	resp, err := d.post(ctx, d.node(node).URL+"/v1/chat/completions", secret,
		chatRequest{Model: model, MaxTokens: maxTokens, Messages: []message{{"user", prompt}}}, nil)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Error errorBody `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		return answer{}, errors.Wrap(err, "answer is not JSON")
	}
	return answer{resp.StatusCode, body.Error}, nil
}

// expect checks a refusal: status, result code and that it did not run.
func (a answer) expect(status int, want code.Code) (string, error) {
	got := fmt.Sprintf("status %d, result code %d, %s: %s", a.status, a.err.ResultCode, a.err.Run, a.err.Message)
	if a.status != status || a.err.ResultCode != want || a.err.Run != code.NotRun {
		return "", errors.Newf("expected status %d, result code %d, not_run; got %s", status, want, got)
	}
	return got, nil
}

type orderAnswer struct {
	status int
	body   string
}

func (d *Demo) order(ctx context.Context, node int, customer, path, body string, header http.Header) (orderAnswer, error) {
	resp, err := d.post(ctx, d.node(node).URL+path, d.keys[customer].GetSecret(), json.RawMessage(body), header)
	if err != nil {
		return orderAnswer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return orderAnswer{resp.StatusCode, string(data)}, err
}

func (d *Demo) post(ctx context.Context, url, secret string, body any, header http.Header) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(data)))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+secret)
	return d.client.Do(req)
}
