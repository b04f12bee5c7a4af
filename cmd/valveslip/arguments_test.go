package main

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/platform"
)

// TestSilentlyCutWatchTimesOutBeforeConfigDeadline guards against configuration that takes
// effect too late: changes must be in force within 2 s, so a watch whose connection was cut
// silently must time out before that.
func TestSilentlyCutWatchTimesOutBeforeConfigDeadline(t *testing.T) {
	const configDeadline = 2 * time.Second
	if detectionTime := watchPollTime + platform.WatchResponseMargin; detectionTime > configDeadline-250*time.Millisecond {
		t.Errorf("a silently cut watch is detected only after %s", detectionTime)
	}
}

// TestFlagsAfterArgumentsAreMovedFirst guards against flags that are taken for arguments
// because they follow an argument, and against values that are separated from their flag.
func TestFlagsAfterArgumentsAreMovedFirst(t *testing.T) {
	for given, want := range map[string]string{
		"experiment run dental --seeds 1":      "experiment run --seeds 1 dental",
		"explain abc --logs f --json":          "explain --logs f --json abc",
		"explain --logs f abc":                 "explain --logs f abc",
		"why model m --admin=http://127.0.0.1": "why model --admin=http://127.0.0.1 m",
		"explain -- --odd":                     "explain -- --odd",
		"--version":                            "--version",
	} {
		if got := moveFlagsFirst(rootCommand(), strings.Fields(given)); !slices.Equal(got, strings.Fields(want)) {
			t.Errorf("%q became %q, want %q", given, got, want)
		}
	}
}

// TestUnknownSubcommandIsUsageErrorWithSuggestion guards against an unknown subcommand that
// succeeds because a help flag is given, and against a wrong or missing suggestion.
func TestUnknownSubcommandIsUsageErrorWithSuggestion(t *testing.T) {
	for given, want := range map[string]string{
		"staus":                       `there is no subcommand "staus"; did you mean status?; valveslip --help lists them`,
		"staus --help":                `there is no subcommand "staus"; did you mean status?; valveslip --help lists them`,
		"--help staus":                `there is no subcommand "staus"; did you mean status?; valveslip --help lists them`,
		"-h staus":                    `there is no subcommand "staus"; did you mean status?; valveslip --help lists them`,
		"-- staus":                    `there is no subcommand "staus"; did you mean status?; valveslip --help lists them`,
		"bogus --flag value":          `there is no subcommand "bogus"; valveslip --help lists them`,
		"tree valdate --help":         `there is no subcommand "valdate"; did you mean validate?; valveslip tree --help lists them`,
		"poison pardn":                `there is no subcommand "pardn"; did you mean pardon?; valveslip poison --help lists them`,
		"check --deploy file takover": `there is no subcommand "takover"; did you mean takeover?; valveslip check --help lists them`,
		"--help":                      "",
		"--version":                   "",
		"tree --help":                 "",
		"tree get --help":             "",
		"check --deploy file":         "",
		"explain abc --help":          "",
		"--flag value":                "",
		"":                            "",
	} {
		err := checkSubcommandExists(rootCommand(), strings.Fields(given))
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("%q: got error %q, want %q", given, got, want)
		}
		if err != nil && exitCode(err) != exitUsage {
			t.Errorf("%q: exit code %d, want that of a usage error", given, exitCode(err))
		}
	}
}

// TestHelpSucceedsOnlyForExistingSubcommands guards against an exit code of zero for a
// misspelt subcommand.
func TestHelpSucceedsOnlyForExistingSubcommands(t *testing.T) {
	for given, want := range map[string]int{
		"--help": exitOK, "tree --help": exitOK, "tree get --help": exitOK,
		"bogus --help": exitUsage, "tree bogus --help": exitUsage, "bogus": exitUsage, "tree bogus": exitUsage,
	} {
		if got := run(strings.Fields(given)); got != want {
			t.Errorf("%q: exit code %d, want %d", given, got, want)
		}
	}
}
