package engine_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/valveslip/valveslip/engine"
	standin "github.com/valveslip/valveslip/standin/engine"
)

// officialClient returns the official OpenAI client for the engine at address.
func officialClient(address string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+address+"/v1"), option.WithAPIKey("unused"), option.WithMaxRetries(0))
}

func chatParams(prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               "m",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxCompletionTokens: openai.Int(tokens),
	}
}

// The engine's chat, streamed chat, completion and model list must have the form
// that the official OpenAI client accepts.
func TestOfficialClientReadsAllAnswerForms(t *testing.T) {
	_, address := startServer(t, standin.ServerConfig{})
	loadReplica(t, newClient(t), address, "m", 10)
	official, ctx := officialClient(address), context.Background()

	whole, err := official.Chat.Completions.New(ctx, chatParams("p", 20))
	if err != nil || whole.Choices[0].Message.Content != wantedAnswer("p", 20) || whole.Usage.CompletionTokens != 20 {
		t.Fatalf("chat: %+v, %v", whole, err)
	}
	params := chatParams("p", 20)
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	stream := official.Chat.Completions.NewStreaming(ctx, params)
	var all openai.ChatCompletionAccumulator
	for stream.Next() {
		if !all.AddChunk(stream.Current()) {
			t.Fatalf("chunk does not fit: %+v", stream.Current())
		}
	}
	if stream.Err() != nil || all.Choices[0].Message.Content != wantedAnswer("p", 20) || all.Usage.CompletionTokens != 20 || all.Choices[0].FinishReason != "length" {
		t.Fatalf("chat stream: %+v, %v", all.ChatCompletion, stream.Err())
	}
	text, err := official.Completions.New(ctx, openai.CompletionNewParams{
		Model: "m", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("p")}, MaxTokens: openai.Int(5),
	})
	if err != nil || text.Choices[0].Text != standin.AnswerText("m", "p", 5) {
		t.Fatalf("completion: %+v, %v", text, err)
	}
	models, err := official.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "m" {
		t.Fatalf("models: %+v, %v", models, err)
	}
}

// A missing model and an invalid request must reach the official client as API
// errors with status, type and verdict, not as malformed responses.
func TestOfficialClientReadsErrors(t *testing.T) {
	_, address := startServer(t, standin.ServerConfig{})
	official := officialClient(address)
	_, err := official.Chat.Completions.New(context.Background(), chatParams("p", 5))
	var failure *openai.Error
	if !errors.As(err, &failure) || failure.StatusCode != http.StatusNotFound || failure.Type != "model_not_loaded" {
		t.Fatalf("model missing: %v", err)
	}
	if failure.Response.Header.Get(engine.HeaderVerdict) != "not-run" {
		t.Fatalf("verdict %q", failure.Response.Header.Get(engine.HeaderVerdict))
	}
	_, err = official.Chat.Completions.New(context.Background(), chatParams("p", -1))
	if !errors.As(err, &failure) || failure.StatusCode != http.StatusBadRequest {
		t.Fatalf("bad max_tokens: %v", err)
	}
}
