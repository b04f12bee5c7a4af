package shell_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/valveslip/valveslip/standin/fault"
)

// chat returns the parameters of a one-message chat.
func chat(name, content string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: name, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(content)},
	}
}

func TestOfficialClientGetsWholeAnswers(t *testing.T) {
	f := start(t, fixtureConfig{})
	client := f.client(callerSecret)
	answer, err := client.Chat.Completions.New(t.Context(), chat(string(model), "hello", 20))
	if err != nil {
		t.Fatal(err)
	}
	if got := answer.Choices[0].Message.Content; got != wanted("hello", 20) {
		t.Fatalf("answer %q", got)
	}
	if got, whole := streamText(t, client, "again", 300); !whole || got != wanted("again", 300) {
		t.Fatalf("stream whole %v: %q", whole, got)
	}
	models, err := client.Models.List(t.Context())
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != string(model) {
		t.Fatalf("models %v, %v", models, err)
	}
	one, err := client.Models.Get(t.Context(), string(model))
	if err != nil || one.ID != string(model) || one.OwnedBy != "/dental" {
		t.Fatalf("model %v, %v", one, err)
	}
}

// streamText reads a stream to its end.
func streamText(t *testing.T, client openai.Client, content string, tokens int64) (string, bool) {
	t.Helper()
	stream := client.Chat.Completions.NewStreaming(t.Context(), chat(string(model), content, tokens))
	defer stream.Close()
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String(), stream.Err() == nil
}

func TestOfficialClientSeesErrors(t *testing.T) {
	f := start(t, fixtureConfig{})
	tests := []struct {
		name, secret, model string
		status              int
		code                string
	}{
		{"unknown model", callerSecret, "nothing", http.StatusNotFound, "model_not_found"},
		{"another team's model", callerSecret, "ledger", http.StatusNotFound, "model_not_found"},
		{"wrong token", "guess", string(model), http.StatusUnauthorized, "unauthorized"},
		{"expired token", expiredSecret, string(model), http.StatusUnauthorized, "unauthorized"},
		{"role that may not call", readerSecret, string(model), http.StatusForbidden, "forbidden"},
	}
	for _, test := range tests {
		client := f.client(test.secret)
		_, err := client.Chat.Completions.New(t.Context(), chat(test.model, "hello", 3))
		var refused *openai.Error
		if !errors.As(err, &refused) || refused.StatusCode != test.status || refused.Code != test.code {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	if total := f.engine.Counters().Runs; total != 0 {
		t.Fatalf("%d refused requests ran", total)
	}
}

func TestCutStreamIsResumed(t *testing.T) {
	f := start(t, fixtureConfig{})
	for range 2 {
		f.engine.Inject(fault.Order{Kind: fault.KindCutStream, Count: 2, Tokens: 5})
		if got, whole := streamText(t, f.client(callerSecret), "cut", 60); !whole || got != wanted("cut", 60) {
			t.Fatalf("stream whole %v: %q", whole, got)
		}
	}
	if runs := f.engine.Counters().Runs; runs != 2 {
		t.Fatalf("%d runs", runs)
	}
}

// TestOfficialClientDoesNotRepeatWhatMayHaveRun uses the client's own retries.
func TestOfficialClientDoesNotRepeatWhatMayHaveRun(t *testing.T) {
	for _, repeatable := range []string{"false", "true"} {
		f := start(t, fixtureConfig{})
		f.engine.Inject(fault.Order{Kind: fault.KindDown})
		client := f.client(callerSecret)
		_, err := client.Chat.Completions.New(t.Context(), chat(string(model), "confirm", 3),
			option.WithMaxRetries(1), option.WithHeader("X-Valveslip-Repeatable", repeatable))
		if err == nil {
			t.Fatal("the engine answered")
		}
		sent := strings.Count(f.admin("/metrics"), `valveslip_requests_total{outcome="engine_failed",status="502",zone="z1"} 2`)
		if wanted := map[string]int{"false": 0, "true": 1}[repeatable]; sent != wanted {
			t.Errorf("repeatable %s: the client repeated %d times, want %d", repeatable, sent, wanted)
		}
	}
}
