package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/routing/poison"
)

// poisonTimeout bounds the calls of one command to the store.
const poisonTimeout = 10 * time.Second

// poisonCommand shows and lifts what the nodes refuse because machines ended under it.
func poisonCommand(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:        "poison",
		ShortUsage:  "valveslip poison <list|pardon> [flags]",
		ShortHelp:   "list requests that are refused because machines ended under them, or pardon one",
		Subcommands: []*ffcli.Command{poisonListCommand(out), poisonPardonCommand(out)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// storeFlag adds the flag that says where the store is.
func storeFlag(flags *flag.FlagSet) *string {
	return flags.String("store", "", "host:port of the metadata store; the one of the settings file in "+platform.SettingsVariable+" when empty")
}

// openStore returns the store at an address, or that of the settings file.
func openStore(address, settingsPath string) (*platform.StoreClient, error) {
	if address == "" && settingsPath == "" {
		return nil, usageError("--store names no metadata store, and %s no settings file", platform.SettingsVariable)
	}
	if address == "" {
		settings, err := platform.ReadSettings(settingsPath)
		if err != nil {
			return nil, &exitError{code: exitInvalid, err: err}
		}
		address = settings.Store.Address
	}
	return platform.NewStoreClient(address, watchWait), nil
}

// poisonRow is a convicted request as the commands show it.
type poisonRow struct {
	Content  string              `json:"content"`
	Machines []cluster.MachineID `json:"machines"`
	Tests    int                 `json:"tests"`
	Revision int64               `json:"revision"`
	// Error says why the record can't be read.
	Error string `json:"error,omitempty"`
}

func poisonListCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("valveslip poison list", flag.ContinueOnError)
	store := storeFlag(flags)
	o := &operator{out: out}
	flags.BoolVar(&o.json, "json", false, "print JSON for programs")
	return &ffcli.Command{
		Name: "list", ShortUsage: "valveslip poison list [--store HOST:PORT] [--json]", FlagSet: flags,
		ShortHelp: "list the requests that are refused, with the machines that ended under them",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return usageError("poison list takes no arguments")
			}
			client, err := openStore(*store, settingsPath())
			if err != nil {
				return err
			}
			rows, err := poisonRows(ctx, client)
			if err != nil {
				return err
			}
			return o.show(rows, func(out io.Writer) error { return writePoison(out, rows) })
		},
	}
}

// poisonRows reads all records.
func poisonRows(ctx context.Context, client *platform.StoreClient) ([]poisonRow, error) {
	ctx, cancel := context.WithTimeout(ctx, poisonTimeout)
	defer cancel()
	pairs, _, err := client.Range(ctx, fleet.KeyPoison)
	if err != nil {
		return nil, &exitError{code: exitUnavailable, err: eris.Wrap(err, "read the store")}
	}
	rows := []poisonRow{}
	for i := range pairs {
		rows = append(rows, poisonRowOf(&pairs[i]))
	}
	slices.SortFunc(rows, func(a, b poisonRow) int { return strings.Compare(a.Content, b.Content) })
	return rows, nil
}

func poisonRowOf(pair *keyvalue.KeyValue) poisonRow {
	row := poisonRow{Content: strings.TrimPrefix(pair.Key, fleet.KeyPoison), Revision: pair.ModRevision}
	stored, err := fleet.DecodePoison(pair.Key, pair.Value)
	if err != nil {
		row.Error = err.Error()
		return row
	}
	row.Machines, row.Tests = stored.Record.StandingEnds(), stored.Tests
	return row
}

func writePoison(out io.Writer, rows []poisonRow) error {
	if len(rows) == 0 {
		_, err := fmt.Fprintln(out, "no request is refused because of machines that ended")
		return err
	}
	var cells [][]string
	for i := range rows {
		row := &rows[i]
		names := make([]string, len(row.Machines))
		for at, machine := range row.Machines {
			names[at] = string(machine)
		}
		machines := strings.Join(names, ", ")
		if row.Error != "" {
			machines = "can't be read: " + row.Error
		}
		cells = append(cells, []string{row.Content, strconv.Itoa(row.Tests), machines})
	}
	return writeTable(out, []string{"CONTENT", "TESTS", "MACHINES THAT ENDED"}, cells)
}

// errNotRefused is why a request can't be pardoned.
var errNotRefused = errors.New("no such request is refused")

func poisonPardonCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("valveslip poison pardon", flag.ContinueOnError)
	store := storeFlag(flags)
	return &ffcli.Command{
		Name: "pardon", ShortUsage: "valveslip poison pardon [--store HOST:PORT] CONTENT", FlagSet: flags,
		ShortHelp: "have all nodes take a request again, by the fingerprint that poison list and the log name",
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return usageError("poison pardon takes one fingerprint")
			}
			content, err := poison.ParseFingerprint(arguments[0])
			if err != nil {
				return &exitError{code: exitInvalid, err: err}
			}
			client, err := openStore(*store, settingsPath())
			if err != nil {
				return err
			}
			if err := pardon(ctx, client, content); err != nil {
				return err
			}
			_, err = fmt.Fprintf(out, "request %s is taken again\n", content)
			return err
		},
	}
}

// pardon deletes the record of a request.
func pardon(ctx context.Context, client *platform.StoreClient, content poison.Fingerprint) error {
	rows, err := poisonRows(ctx, client)
	if err != nil {
		return err
	}
	at := slices.IndexFunc(rows, func(row poisonRow) bool { return row.Content == content.String() })
	if at < 0 {
		return &exitError{code: exitNotFound, err: errNotRefused}
	}
	ctx, cancel := context.WithTimeout(ctx, poisonTimeout)
	defer cancel()
	key := fleet.KeyPoison + content.String()
	result, err := client.Txn(ctx, keyvalue.Transaction{
		Compares: []keyvalue.Compare{{Key: key, ModRevision: rows[at].Revision}}, Operations: []keyvalue.Operation{{Key: key, Delete: true}},
	})
	switch {
	case err != nil:
		return &exitError{code: exitUnknown, err: eris.Wrap(err, "the record may have been deleted; look with poison list")}
	case !result.Succeeded:
		return &exitError{code: exitConflict, err: errors.New("the record changed meanwhile; look again with poison list")}
	}
	return nil
}
