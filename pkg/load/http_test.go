package load

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

const answerStart = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n"

// TestHTTPSender guards against answers that are counted as something else: a
// truncated stream as complete, a refusal as a failure, a missing hit.
func TestHTTPSender(t *testing.T) {
	usage := "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":70,\"completion_tokens\":5,\"prompt_tokens_details\":{\"cached_tokens\":40}}}\n\n"
	cases := map[string]struct {
		status int
		body   string
		want   Timings
	}{
		"complete":  {200, answerStart + usage + "data: [DONE]\n\n", Timings{PromptTokens: 70, CachedTokens: 40, OutputTokens: 5}},
		"truncated": {200, answerStart, Timings{Truncated: true}},
		"revoked":   {200, answerStart + "data: {\"error\":{\"run\":\"ran\",\"result_code\":2003}}\n\n", Timings{Truncated: true, Revoked: true}},
		"over rate": {429, `{"error":{"run":"not_run","result_code":3001}}`, Timings{Refused: true, RateLimited: true, Code: 3001}},
		"no slot":   {503, `{"error":{"run":"not_run","result_code":5001}}`, Timings{Refused: true, Code: 5001}},
		"may run":   {502, `{"error":{"run":"may_have_run","result_code":5003}}`, Timings{Failed: true}},
		"garbage":   {500, "oops", Timings{Failed: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Authorization") != "Bearer k" {
					t.Error("the request carries no key")
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer server.Close()
			s := HTTPSender{URLs: []string{server.URL}, Client: server.Client(), Key: func(*Arrival) string { return "k" }}
			got := s.Send(t.Context(), 3, &Call{Arrival: &Arrival{Timeout: time.Minute}, Text: "x"})
			if c.status == http.StatusOK && got.TTFT <= 0 {
				t.Error("no time to first token")
			}
			got.TTFT, got.Total = 0, 0
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
