package main

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

func TestCompletionKnowsEveryCommandAndFlag(t *testing.T) {
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
					t.Errorf("%s: %s of %s is missing", shell, word, entry.command)
				}
			}
		}
	}
	if err := completionCommand(&bytes.Buffer{}, rootCommand).Exec(context.Background(), []string{"csh"}); exitCode(err) != exitUsage {
		t.Errorf("an unknown shell: %v", err)
	}
}
