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

// chat returns the parameters of a chat with one message.
func chat(name, content string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: name, MaxTokens: openai.Int(tokens),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(content)},
	}
}

// TestOfficialClientReceivesCompleteAnswers checks that the official OpenAI client can
// read answers, streams and the list of models.
func TestOfficialClientReceivesCompleteAnswers(t *testing.T) {
	f := startFixture(t, fixtureConfig{})
	client := f.client(callerSecret)
	answer, err := client.Chat.Completions.New(t.Context(), chat(string(model), "hello", 20))
	if err != nil {
		t.Fatal(err)
	}
	if got := answer.Choices[0].Message.Content; got != expectedAnswer("hello", 20) {
		t.Fatalf("answer %q", got)
	}
	if got, complete := streamText(t, client, "again", 300); !complete || got != expectedAnswer("again", 300) {
		t.Fatalf("stream complete %v: %q", complete, got)
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

// streamText reads a stream to its end and returns its text and whether it ended
// without an error.
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

// TestOfficialClientReceivesErrorCodes checks that the official OpenAI client can read
// the code of each rejection, and that no rejected request reaches the engine.
func TestOfficialClientReceivesErrorCodes(t *testing.T) {
	f := startFixture(t, fixtureConfig{})
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
		t.Fatalf("%d rejected requests ran on the engine", total)
	}
}

// TestInterruptedStreamIsResumed checks that a stream interrupted twice by the engine
// reaches the caller complete and runs only once.
func TestInterruptedStreamIsResumed(t *testing.T) {
	f := startFixture(t, fixtureConfig{})
	for range 2 {
		f.engine.Inject(fault.Order{Kind: fault.KindCutStream, Count: 2, Tokens: 5})
		if got, complete := streamText(t, f.client(callerSecret), "cut", 60); !complete || got != expectedAnswer("cut", 60) {
			t.Fatalf("stream complete %v: %q", complete, got)
		}
	}
	if runs := f.engine.Counters().Runs; runs != 2 {
		t.Fatalf("two requests ran %d times in all, want 2", runs)
	}
}

// TestOfficialClientRetriesOnlyRepeatableRequests checks that the official client's
// own retries do not run a request again that may have run, unless it is marked
// repeatable.
func TestOfficialClientRetriesOnlyRepeatableRequests(t *testing.T) {
	for _, repeatable := range []string{"false", "true"} {
		f := startFixture(t, fixtureConfig{})
		f.engine.Inject(fault.Order{Kind: fault.KindDown})
		client := f.client(callerSecret)
		_, err := client.Chat.Completions.New(t.Context(), chat(string(model), "confirm", 3),
			option.WithMaxRetries(1), option.WithHeader("X-Valveslip-Repeatable", repeatable))
		if err == nil {
			t.Fatal("request succeeded although the engine does not answer")
		}
		retries := strings.Count(f.readAdmin("/metrics"), `valveslip_requests_total{outcome="engine_failed",status="502",zone="z1"} 2`)
		if expected := map[string]int{"false": 0, "true": 1}[repeatable]; retries != expected {
			t.Errorf("repeatable %s: the client repeated %d times, want %d", repeatable, retries, expected)
		}
	}
}
