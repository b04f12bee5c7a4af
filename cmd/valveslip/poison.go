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

// poisonTimeout is the timeout of a read or a write of poison records in the store.
const poisonTimeout = 10 * time.Second

// poisonCommand returns the command that lists and pardons requests that all nodes refuse
// because machines ended under them.
func poisonCommand(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:        "poison",
		ShortUsage:  "valveslip poison <list|pardon> [flags]",
		ShortHelp:   "list requests that are refused because machines ended under them, or pardon one",
		Subcommands: []*ffcli.Command{poisonListCommand(out), poisonPardonCommand(out)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// storeFlag adds the flag for the address of the metadata store.
func storeFlag(flags *flag.FlagSet) *string {
	return flags.String("store", "", "host:port of the metadata store; the one of the settings file in "+platform.SettingsVariable+" when empty")
}

// openStore returns a client of the store at an address. If the address is empty, it is
// read from the settings file.
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
	return platform.NewStoreClient(address, watchPollTime), nil
}

// poisonRow is a refused request as the commands print it.
type poisonRow struct {
	Content  string              `json:"content"`
	Machines []cluster.MachineID `json:"machines"`
	Tests    int                 `json:"tests"`
	Revision keyvalue.Revision   `json:"revision"`
	// Error is the reason why the record can't be decoded, empty if it can.
	Error string `json:"error,omitempty"`
}

// poisonListCommand returns the command that lists the refused requests.
func poisonListCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("valveslip poison list", flag.ContinueOnError)
	store := storeFlag(flags)
	o := &operatorOptions{out: out}
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
			return o.printValue(rows, func(out io.Writer) error { return writePoison(out, rows) })
		},
	}
}

// poisonRows reads all poison records from the store, sorted by fingerprint.
func poisonRows(ctx context.Context, client *platform.StoreClient) ([]poisonRow, error) {
	ctx, cancel := context.WithTimeout(ctx, poisonTimeout)
	defer cancel()
	pairs, _, err := client.Range(ctx, fleet.KeyPoison)
	if err != nil {
		return nil, &exitError{code: exitUnavailable, err: eris.Wrap(err, "read the store")}
	}
	rows := []poisonRow{}
	for i := range pairs {
		rows = append(rows, newPoisonRow(&pairs[i]))
	}
	slices.SortFunc(rows, func(a, b poisonRow) int { return strings.Compare(a.Content, b.Content) })
	return rows, nil
}

// newPoisonRow decodes a poison record.
func newPoisonRow(pair *keyvalue.KeyValue) poisonRow {
	row := poisonRow{Content: strings.TrimPrefix(pair.Key, fleet.KeyPoison), Revision: pair.ModRevision}
	stored, err := fleet.DecodePoison(pair.Key, pair.Value)
	if err != nil {
		row.Error = err.Error()
		return row
	}
	row.Machines, row.Tests = stored.Record.AttributedEnds(), stored.Probes
	return row
}

// writePoison prints the refused requests as a table.
func writePoison(out io.Writer, rows []poisonRow) error {
	if len(rows) == 0 {
		_, err := fmt.Fprintln(out, "no request is refused because of machines that ended")
		return err
	}
	var cells [][]string
	for i := range rows {
		row := &rows[i]
		names := make([]string, len(row.Machines))
		for j, machine := range row.Machines {
			names[j] = string(machine)
		}
		machines := strings.Join(names, ", ")
		if row.Error != "" {
			machines = "can't be read: " + row.Error
		}
		cells = append(cells, []string{row.Content, strconv.Itoa(row.Tests), machines})
	}
	return writeTable(out, []string{"CONTENT", "TESTS", "MACHINES THAT ENDED"}, cells)
}

// errNotRefused is the error for a pardon of a request that is not refused.
var errNotRefused = errors.New("no such request is refused")

// poisonPardonCommand returns the command that makes all nodes accept a refused request
// again.
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

// pardon deletes the poison record of a request, unless the record changes meanwhile.
func pardon(ctx context.Context, client *platform.StoreClient, content poison.Fingerprint) error {
	rows, err := poisonRows(ctx, client)
	if err != nil {
		return err
	}
	index := slices.IndexFunc(rows, func(row poisonRow) bool { return row.Content == content.String() })
	if index < 0 {
		return &exitError{code: exitNotFound, err: errNotRefused}
	}
	ctx, cancel := context.WithTimeout(ctx, poisonTimeout)
	defer cancel()
	key := fleet.KeyPoison + content.String()
	result, err := client.Txn(ctx, keyvalue.Transaction{
		Compares: []keyvalue.Compare{{Key: key, ModRevision: rows[index].Revision}}, Operations: []keyvalue.Operation{{Key: key, Delete: true}},
	})
	switch {
	case err != nil:
		return &exitError{code: exitOutcomeUnknown, err: eris.Wrap(err, "the record may have been deleted; look with poison list")}
	case !result.Succeeded:
		return &exitError{code: exitConflict, err: errors.New("the record changed meanwhile; look again with poison list")}
	}
	return nil
}
