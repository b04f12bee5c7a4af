package main

import (
	"bytes"
	"context"
	"flag"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sebdah/goldie/v2"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/settings"
	standin "github.com/valveslip/valveslip/standin/keyvalue"
)

// storeBackend is a Backend on which every stored tree is in force immediately.
type storeBackend struct {
	*admin.EventLog
	store *settings.Store
}

func (b storeBackend) Settings() (*settings.Tree, *settings.Snapshot) {
	tree, stamp, err := b.store.Load(context.Background())
	if err != nil {
		return nil, nil
	}
	snapshot, err := tree.Compile(stamp)
	if err != nil {
		return nil, nil
	}
	return tree, snapshot
}
func (storeBackend) Members(context.Context) ([]admin.Member, error) {
	return []admin.Member{{ID: "n1", Zone: "east", State: "alive", AdminAddress: "127.0.0.1:1", Revision: 3}, {ID: "n2", Zone: "west", State: "suspect", Revision: 1, Behind: 2}}, nil
}
func (storeBackend) Controllers(context.Context) ([]admin.Controller, error) {
	return []admin.Controller{{Zone: "east", Node: "n1", Token: 12, Ready: true, Sealed: 2, Machines: 3}}, nil
}
func (storeBackend) Machines(context.Context) ([]admin.Machine, error) { return nil, nil }
func (storeBackend) Replicas(context.Context) ([]admin.Replica, error) {
	return []admin.Replica{{Model: "letters", Machine: "m1", Zone: "east", State: "loaded", Version: "1", Bytes: 512 << 20}}, nil
}
func (storeBackend) Queues(context.Context) ([]admin.Queue, error) { return nil, nil }
func (storeBackend) ModelDecisions(context.Context, cluster.ModelID) ([]admin.ModelDecision, error) {
	return nil, nil
}
func (storeBackend) RequestTrace(context.Context, cluster.RequestID) (admin.RequestTrace, error) {
	return admin.RequestTrace{}, admin.ErrNotFound
}

// commandRecorder runs operator commands against a node and records their output.
type commandRecorder struct {
	t   *testing.T
	url string
	out bytes.Buffer
}

// newCommandRecorder starts a node's administration API and returns a recorder for it.
func newCommandRecorder(t *testing.T) *commandRecorder {
	service := standin.NewServer(standin.Config{}, 1)
	listener := httptest.NewServer(service)
	client := keyvalue.NewClient(listener.URL)
	store := settings.NewStore(client, settings.WithHistoryNames(func() string { return "h" }))
	token := newToken("bootstrap", "secret", settings.RoleAdminister, 0)
	node := httptest.NewServer(admin.New(admin.Config{
		Backend: storeBackend{EventLog: admin.NewEventLog(1), store: store}, Store: store,
		Bootstrap: &settings.Token{Name: token.Name, SHA256: token.SHA256, Role: token.Role, Path: settings.RootPath},
	}))
	t.Cleanup(func() {
		node.Close()
		client.Close()
		listener.CloseClientConnections()
		listener.Close()
		service.Close()
	})
	t.Setenv("VALVESLIP_ADMIN_TOKEN", "secret")
	t.Setenv("VALVESLIP_ADMIN_URL", node.URL)
	return &commandRecorder{t: t, url: node.URL}
}

// volatileText matches texts that differ between two runs: times and random ids.
var volatileText = regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\d|[A-Z2-7]{26}|apply-[0-9a-f]{32}`)

// run runs a command line, records it with its output and checks the exit code.
func (s *commandRecorder) run(code int, arguments ...string) {
	s.t.Helper()
	var out bytes.Buffer
	root := &ffcli.Command{
		Name:        "valveslip",
		Subcommands: []*ffcli.Command{treeCommand(&out), whyCommand(&out), statusCommand(&out), eventsCommand(&out)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), arguments)
	got := exitOK
	if err != nil {
		got = exitCode(err)
		out.WriteString("valveslip: " + err.Error() + "\n")
	}
	if got != code {
		s.t.Errorf("%v exits with %d, want %d: %s", arguments, got, code, out.String())
	}
	s.out.WriteString("$ valveslip " + strings.Join(arguments, " ") + "\n" + out.String() + "\n")
}

// compareGolden compares the recorded output with a golden file. Each pair in replace is a
// text and its replacement.
func (s *commandRecorder) compareGolden(name string, replace ...string) {
	s.t.Helper()
	text := volatileText.ReplaceAllStringFunc(s.out.String(), func(found string) string { return strings.Repeat("#", len(found)) })
	text = strings.NewReplacer(append([]string{s.url, "URL"}, replace...)...).Replace(text)
	goldie.New(s.t).Assert(s.t, name, []byte(text))
}

// writeFile writes a file in a new directory and returns the directory.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	directory := t.TempDir()
	if err := os.WriteFile(filepath.Join(directory, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return directory
}

// TestTreeCommandsEditTree guards against unintended changes of the output and the exit codes
// of commands that validate, edit, print and revert the settings tree.
func TestTreeCommandsEditTree(t *testing.T) {
	s := newCommandRecorder(t)
	files := writeFile(t, "dental.yaml", "children:\n  dental:\n    kind: team\n    children:\n      base: {kind: model, memory: 16GiB, min_replicas: 1}\n      letters: {kind: adapter, base: base}\n")
	s.run(exitOK, "tree", "validate", "-f", files)
	s.run(exitOK, "tree", "apply", "--dry-run", "-f", files)
	s.run(exitOK, "tree", "apply", "--message", "first", "-f", files)
	s.run(exitOK, "tree", "apply", "-f", files)
	s.run(exitOK, "tree", "set", "--id", "slow", "/dental", "keep_alive=90m", "zones=west,east")
	s.run(exitOK, "tree", "set", "--id", "slow", "/dental", "keep_alive=90m", "zones=west,east")
	s.run(exitInvalid, "tree", "set", "--id", "slow", "/dental", "keep_alive=91m")
	s.run(exitOK, "tree", "get", "/dental")
	s.run(exitOK, "tree", "get", "--effective", "/dental/letters")
	s.run(exitOK, "tree", "token", "--role", "read", "/dental", "desk")
	s.run(exitOK, "tree", "log")
	s.run(exitOK, "tree", "log", "--changes", "--id", "slow")
	s.run(exitOK, "tree", "diff", "--from", "1", "--to", "2")
	s.run(exitOK, "tree", "revert", "2")
	s.run(exitConflict, "tree", "revert", "2")
	s.run(exitOK, "tree", "apply", "--prune", "--dry-run", "-f", files)
	s.compareGolden("edits", files, "DIRECTORY")
}

// TestFailedCommandsExitWithCodeOfCause guards against a failed command whose exit code or
// message does not tell its cause.
func TestFailedCommandsExitWithCodeOfCause(t *testing.T) {
	s := newCommandRecorder(t)
	invalidFiles := writeFile(t, "wrong.yaml", "children:\n  dental:\n    kind: team\n    keep_alvie: 10m\n")
	missingBaseFiles := writeFile(t, "borrowed.yaml", "children:\n  dental:\n    kind: team\n    children:\n      letters:\n        kind: adapter\n        base: nowhere\n")
	s.run(exitInvalid, "tree", "validate", "-f", invalidFiles)
	s.run(exitInvalid, "tree", "apply", "-f", invalidFiles)
	s.run(exitInvalid, "tree", "apply", "-f", missingBaseFiles)
	s.run(exitInvalid, "tree", "set", "/", "keep_alive=soon", "retries=3")
	s.run(exitUsage, "tree", "set", "/", "keep_alive")
	s.run(exitUsage, "tree", "apply")
	s.run(exitUsage, "tree", "revert", "last")
	s.run(exitNotFound, "tree", "revert", "7")
	s.run(exitNotFound, "why", "model", "nobody")
	s.run(exitDenied, "status", "--token", "guessed")
	const nowhere = "127.0.0.1:1"
	s.run(exitUnavailable, "status", "--url", "http://"+nowhere)
	s.compareGolden("mistakes", invalidFiles, "DIRECTORY", missingBaseFiles, "DIRECTORY", "http://"+nowhere, "GONE", nowhere, "GONE")
}

// TestStatusPrintsStateOfSystem guards against unintended changes of the status command's
// output, as tables and as JSON.
func TestStatusPrintsStateOfSystem(t *testing.T) {
	s := newCommandRecorder(t)
	s.run(exitOK, "status")
	s.run(exitOK, "status", "--json")
	s.compareGolden("status")
}
