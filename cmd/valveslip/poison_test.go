package main

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin"
	"github.com/valveslip/valveslip/standin/metadata"
)

// TestPoisonListAndPardonRefusedRequests guards against refused requests or unreadable
// records that the list omits, and against a pardon that leaves the record or succeeds twice.
func TestPoisonListAndPardonRefusedRequests(t *testing.T) {
	store := metadata.New(1)
	server, err := standin.Listen("127.0.0.1:0", store)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		server.Kill()
		store.Close()
	})
	const refused, unreadable = "000102030405060708090a0b0c0d0e0f", "ff0102030405060708090a0b0c0d0e0f"
	client := platform.NewStoreClient(server.Address(), time.Second)
	for content, value := range map[string]string{refused: `{"ends":["i-1","i-2","i-3"],"tests":1}`, unreadable: "?"} {
		if _, err := client.Txn(context.Background(), keyvalue.Transaction{Operations: []keyvalue.Operation{{Key: fleet.KeyPoison + content, Value: []byte(value)}}}); err != nil {
			t.Fatal(err)
		}
	}
	run := func(arguments ...string) (string, int) {
		var out bytes.Buffer
		command := poisonCommand(&out)
		err := command.ParseAndRun(context.Background(), append(arguments[:len(arguments):len(arguments)], "--store", server.Address()))
		if err == nil {
			return out.String(), exitOK
		}
		return out.String(), exitCode(err)
	}
	listed, code := run("list")
	if code != exitOK || !strings.Contains(listed, "i-1, i-2, i-3") || !strings.Contains(listed, "can't be read") {
		t.Errorf("exit %d, list:\n%s", code, listed)
	}
	pardon := func(content string) int {
		command := poisonPardonCommand(&bytes.Buffer{})
		return exitCodeOrOK(command.ParseAndRun(context.Background(), []string{"--store", server.Address(), content}))
	}
	for _, c := range []struct {
		content string
		code    int
	}{{"xyz", exitInvalid}, {refused, exitOK}, {refused, exitNotFound}, {unreadable, exitOK}} {
		if got := pardon(c.content); got != c.code {
			t.Errorf("pardon %s: exit %d, want %d", c.content, got, c.code)
		}
	}
	if listed, _ := run("list"); !strings.Contains(listed, "no request is refused") {
		t.Errorf("list after the pardons:\n%s", listed)
	}
}

// exitCodeOrOK returns the exit code for an error; nil is exitOK.
func exitCodeOrOK(err error) int {
	if err == nil {
		return exitOK
	}
	return exitCode(err)
}

// TestRequestedHelpSucceedsAndIncompleteCommandFails guards against a help flag that fails,
// for the program or a subcommand, and against an incomplete or invalid command that succeeds.
func TestRequestedHelpSucceedsAndIncompleteCommandFails(t *testing.T) {
	root := rootCommand()
	if code := run([]string{"--help"}); code != exitOK {
		t.Errorf("valveslip --help: exit %d", code)
	}
	for _, command := range root.Subcommands {
		for _, help := range []string{"--help", "-h"} {
			if code := run([]string{command.Name, help}); code != exitOK {
				t.Errorf("valveslip %s %s: exit %d", command.Name, help, code)
			}
		}
		for _, child := range command.Subcommands {
			if code := run([]string{command.Name, child.Name, "--help"}); code != exitOK {
				t.Errorf("valveslip %s %s --help: exit %d", command.Name, child.Name, code)
			}
		}
	}
	for _, arguments := range [][]string{{}, {"tree"}, {"poison"}, {"no-such-command"}, {"node", "--no-such-flag"}} {
		if code := run(arguments); code == exitOK {
			t.Errorf("valveslip %v: exit %d", arguments, code)
		}
	}
}
