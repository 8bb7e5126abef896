package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/fescuestep/fescuestep/pkg/code"
)

// HTTPSender sends requests to running instances as a caller does.
type HTTPSender struct {
	URLs   []string // base URL by instance
	Model  string   // empty: the profile's pool name
	Key    func(a *Arrival) string
	Client *http.Client
}

// completion is the body of POST /v1/completions.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Send implements Sender.
func (s *HTTPSender) Send(ctx context.Context, instance int, c *Call) Timings {
	ctx, cancel := context.WithTimeout(ctx, c.Arrival.Timeout)
	defer cancel()
	body, err := json.Marshal(completion{Model: s.Model, Prompt: c.Text, MaxTokens: c.Arrival.MaxOutput, Stream: true})
	if err != nil {
		return Timings{Failed: true}
	}
	url := s.URLs[instance%len(s.URLs)] + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Timings{Failed: true}
	}
	req.Header.Set("Content-Type", "application/json")
	if key := s.Key(c.Arrival); key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	start := time.Now()
	resp, err := s.Client.Do(req)
	if err != nil {
		return Timings{Unanswered: true}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp.Body)
	}
	return readStream(resp.Body, start)
}

// maxErrorBytes bounds the body of a refusal.
const maxErrorBytes = 64 << 10

// answerError is the body of an error, also within a stream.
type answerError struct {
	Error *struct {
		Run        code.RunState `json:"run"`
		ResultCode code.Code     `json:"result_code"`
	} `json:"error"`
}

func refusal(body io.Reader) Timings {
	var e answerError
	if err := json.NewDecoder(io.LimitReader(body, maxErrorBytes)).Decode(&e); err != nil || e.Error == nil {
		return Timings{Failed: true}
	}
	if e.Error.Run != code.NotRun {
		return Timings{Failed: true}
	}
	c := e.Error.ResultCode
	if c == code.KeyRevoked {
		return Timings{Revoked: true}
	}
	return Timings{Refused: true, Code: c, RateLimited: c == code.RateExceeded || c == code.RequestExceedsBurst}
}

// chunk is one event of a completion stream.
type chunk struct {
	answerError
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          *struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func readStream(body io.Reader, start time.Time) Timings {
	t := Timings{Truncated: true} // until the end marker
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: 1 << 20}) {
		if err != nil {
			break
		}
		if strings.TrimSpace(event.Data) == "[DONE]" {
			t.Truncated = false
			break
		}
		var c chunk
		if json.Unmarshal([]byte(event.Data), &c) != nil {
			break
		}
		if c.Error != nil {
			t.Revoked = c.Error.ResultCode == code.KeyRevoked
			break
		}
		if t.TTFT == 0 && len(c.Choices) > 0 {
			t.TTFT = time.Since(start)
		}
		if c.Usage != nil {
			t.PromptTokens, t.OutputTokens = c.Usage.PromptTokens, c.Usage.CompletionTokens
			if c.Usage.Details != nil {
				t.CachedTokens = c.Usage.Details.CachedTokens
			}
		}
	}
	t.Total = time.Since(start)
	if t.Truncated && t.TTFT == 0 {
		return Timings{Failed: true, Revoked: t.Revoked}
	}
	return t
}

// Target is a System of instances that run elsewhere.
type Target struct{ HTTPSender }

// Inject implements System; faults of a remote system are not injected.
func (*Target) Inject(context.Context, Fault) {}

// Counters implements System.
func (*Target) Counters() Counters { return Counters{} }

// Close implements System.
func (t *Target) Close() { t.Client.CloseIdleConnections() }

// StartTarget returns a Starter for instances at the URLs, with one key for all
// customers.
func StartTarget(urls []string, key string) Starter {
	return func(_ context.Context, o Options, _ string, _ []Arrival) (System, error) {
		return &Target{HTTPSender{
			URLs: urls, Model: o.Profile.Model, Client: NewHTTPClient(),
			Key: func(*Arrival) string { return key },
		}}, nil
	}
}

// NewHTTPClient keeps enough idle connections for an open loop.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: time.Minute}}
}
