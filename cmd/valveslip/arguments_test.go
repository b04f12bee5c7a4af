package main

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/platform"
)

// TestWatchIsGivenUpInTime: a watch that was cut without a word must be given up
// before the two seconds are over in which changes have to be in force.
func TestWatchIsGivenUpInTime(t *testing.T) {
	const inForce = 2 * time.Second
	if unnoticed := watchWait + platform.WatchMargin; unnoticed > inForce-250*time.Millisecond {
		t.Errorf("a cut watch goes unnoticed for %s", unnoticed)
	}
}

func TestFlagsMayFollowArguments(t *testing.T) {
	for given, want := range map[string]string{
		"experiment run dental --seeds 1":      "experiment run --seeds 1 dental",
		"explain abc --logs f --json":          "explain --logs f --json abc",
		"explain --logs f abc":                 "explain --logs f abc",
		"why model m --admin=http://127.0.0.1": "why model --admin=http://127.0.0.1 m",
		"explain -- --odd":                     "explain -- --odd",
		"--version":                            "--version",
	} {
		if got := flagsFirst(rootCommand(), strings.Fields(given)); !slices.Equal(got, strings.Fields(want)) {
			t.Errorf("%q became %q, want %q", given, got, want)
		}
	}
}
