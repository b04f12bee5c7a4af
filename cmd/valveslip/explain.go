package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/explain"
)

// fileList is a flag value that collects all values of a repeated flag.
type fileList []string

// String implements flag.Value.
func (f *fileList) String() string { return strings.Join(*f, ",") }

// Set implements flag.Value.
func (f *fileList) Set(value string) error {
	*f = append(*f, value)
	return nil
}

// explainCommand returns the command that explains from logs what happened to a
// request.
func explainCommand(output io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("valveslip explain", flag.ContinueOnError)
	var files fileList
	flags.Var(&files, "logs", "file with logs of nodes; may be given several times; standard input without one")
	unserved := flags.Bool("unserved", false, "group all requests that were not served by cause")
	late := flags.Bool("late-pauses", false, "group the streams whose longest pause was not in time by cause")
	asJSON := flags.Bool("json", false, "write JSON")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "valveslip explain ID [--logs FILE]... [--json] | valveslip explain --unserved|--late-pauses [--logs FILE]...",
		ShortHelp:  "tell from logs what became of a request, and why",
		FlagSet:    flags,
		Exec: func(_ context.Context, arguments []string) error {
			log, err := readLogs(files)
			if err != nil {
				return &exitError{code: exitInvalid, err: err}
			}
			switch {
			case *unserved && !*late && len(arguments) == 0:
				return writeGroups(output, log.Unserved(), "requests not served", *asJSON)
			case *late && !*unserved && len(arguments) == 0:
				return writeGroups(output, log.LatePauses(), "streams with a pause that was not in time", *asJSON)
			case !*unserved && !*late && len(arguments) == 1:
				return writeStory(output, log, arguments[0], *asJSON)
			}
			return usageError("explain takes one request id, --unserved or --late-pauses")
		},
	}
}

// readLogs reads the log files, or standard input if there are none.
func readLogs(files fileList) (*explain.Log, error) {
	if len(files) == 0 {
		return explain.Read(os.Stdin)
	}
	var inputs []io.Reader
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		inputs = append(inputs, file)
	}
	return explain.Read(inputs...)
}

// writeStory writes the explanation of one request.
func writeStory(output io.Writer, log *explain.Log, id string, asJSON bool) error {
	story, known := log.Story(id)
	if !known {
		return &exitError{code: exitNotFound, err: fmt.Errorf("the logs know no request %s", id)}
	}
	if asJSON {
		return json.NewEncoder(output).Encode(story)
	}
	_, err := io.WriteString(output, story.Text())
	return err
}

// writeGroups writes groups of requests with the same cause, and their total.
func writeGroups(output io.Writer, groups []explain.Group, what string, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(output).Encode(groups)
	}
	total, unknown := 0, 0
	for _, group := range groups {
		total += group.Count
		if !group.Known {
			unknown += group.Count
		}
		fmt.Fprintf(output, "%5d  %s (%s)\n", group.Count, group.Cause, strings.Join(group.Examples, ", "))
	}
	_, err := fmt.Fprintf(output, "%d %s, %d of them without a known cause\n", total, what, unknown)
	return err
}
