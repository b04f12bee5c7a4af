package main

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestCompletionScriptsContainAllCommandsAndFlags guards against a subcommand or flag that
// the completion script of a shell lacks.
func TestCompletionScriptsContainAllCommandsAndFlags(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish"} {
		var out bytes.Buffer
		if err := completionCommand(&out, rootCommand).Exec(context.Background(), []string{shell}); err != nil {
			t.Fatal(err)
		}
		for _, entry := range completionWords(rootCommand(), "valveslip") {
			for _, word := range entry.words {
				if shell == "fish" {
					word = strings.TrimPrefix(word, "--")
				}
				if !strings.Contains(out.String(), word) {
					t.Errorf("the %s script lacks %s of %s", shell, word, entry.command)
				}
			}
		}
	}
	if err := completionCommand(&bytes.Buffer{}, rootCommand).Exec(context.Background(), []string{"csh"}); exitCode(err) != exitUsage {
		t.Errorf("completion for an unknown shell: got %v, want a usage error", err)
	}
}
