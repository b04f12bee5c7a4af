package demo

import (
	"context"
	"log/slog"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/standin/engine"
)

// Each node gets a request for a model without a loaded replica: a base model, a
// model of the other pool and an adapter. The test guards against cold starts
// that fail or answer wrongly, such as an adapter loaded before its base model.
func TestColdModelsAnswerThroughOfficialClient(t *testing.T) {
	running, err := Start(t.Context(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	const tokens = 6
	addresses := running.Addresses()
	for i, model := range []string{"recall-letters-01", "booking-01", "clinic-02"} {
		client := openai.NewClient(
			option.WithBaseURL(addresses.Callers[i%len(addresses.Callers)]+"/v1/"),
			option.WithAPIKey(addresses.CallerToken), option.WithMaxRetries(0),
		)
		answer, err := client.Completions.New(context.Background(), openai.CompletionNewParams{
			Model:     openai.CompletionNewParamsModel(model),
			Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("a question for " + model)},
			MaxTokens: openai.Int(tokens),
		})
		if err != nil {
			t.Fatalf("%s: %v", model, err)
		}
		want := engine.AnswerText(cluster.ModelID(model), "a question for "+model, tokens)
		if len(answer.Choices) != 1 || answer.Choices[0].Text != want {
			t.Fatalf("%s answered %+v, want %q", model, answer.Choices, want)
		}
	}
	if counted := running.platform.counters(); counted.Runs != 3 || counted.Overcommitted != 0 {
		t.Fatalf("engines counted %+v, want 3 runs and no overcommitted load", counted)
	}
	if err := running.Stop(); err != nil {
		t.Fatalf("stop: %v", err)
	}
}
