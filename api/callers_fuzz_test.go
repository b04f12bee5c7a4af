package api

import (
	"encoding/json"
	"testing"

	"github.com/valveslip/valveslip/verdict"
)

// FuzzParseBody guards against bodies that the node and an engine interpret differently, which
// would let a caller use another model than the one that was authorized. The model of an accepted
// body must be the one that encoding/json reads. No body may cause a panic.
func FuzzParseBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"a","messages":[{"role":"user","content":"hi"}],"stream":true}`,
		`{"model":"a","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"max_tokens":7}`,
		`{"model":"a","Model":"b","messages":[]}`, `{"model":"a","model":"b","messages":[]}`,
		`{"model":null,"messages":[]}`, `{"model":"a","messages":null}`, `{"model":"\ud800","messages":[]}`,
		`{"max_tokens":1e999,"model":"a","messages":[]}`, `[`, `{}`, `{"model":"a","messages":[]}x`, "\x00",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, fault := parseBody(body, "messages")
		if fault != nil {
			if fault.failure.Verdict != verdict.NotRun {
				t.Fatalf("body refused with verdict %v, want not-run", fault.failure.Verdict)
			}
			return
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(body, &fields); err != nil {
			t.Fatalf("accepted a body that is not JSON: %v", err)
		}
		var model string
		if err := json.Unmarshal(fields["model"], &model); err != nil || model != parsed.Model || model == "" {
			t.Fatalf("model %s parsed as %q", fields["model"], parsed.Model)
		}
		promptPrefixes(parsed.Prompt, pathChatCompletions)
		promptPrefixes(parsed.Prompt, pathCompletions)
	})
}
