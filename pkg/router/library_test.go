package router

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	goopenai "github.com/sashabaranov/go-openai"
)

// TestPublishedClient guards against streams and answers that client libraries
// of the chat-completions API do not read.
func TestPublishedClient(t *testing.T) {
	in := start(t, map[string][]http.Handler{"plume": {&engineFake{words: 20}}}, nil)
	c := openai.NewClient(option.WithBaseURL(in.url+"/v1/"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:    "greeting-1",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a greeting")},
	}
	stream := c.Chat.Completions.NewStreaming(context.Background(), params)
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if n := len(strings.Fields(text.String())); n != 20 {
		t.Errorf("got %d words, want 20", n)
	}
	answer, err := c.Chat.Completions.New(context.Background(), params)
	if err != nil || answer.Choices[0].Message.Content != "bonjour" {
		t.Errorf("answer %+v, error %v", answer, err)
	}
	models, err := c.Models.List(context.Background())
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "greeting-1" {
		t.Errorf("models %+v, error %v", models, err)
	}
}

// TestPublishedClientError guards against errors whose code the second library
// cannot read.
func TestPublishedClientError(t *testing.T) {
	in := start(t, nil, nil)
	cfg := goopenai.DefaultConfig("wrong")
	cfg.BaseURL = in.url + "/v1"
	_, err := goopenai.NewClientWithConfig(cfg).ListModels(context.Background())
	if err == nil || !strings.Contains(err.Error(), "the key is not known") {
		t.Errorf("got %v, want the message of an unknown key", err)
	}
}
