package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
)

// writeTable prints a table with a header and without borders, so that tools can split
// its lines at spaces.
func writeTable(out io.Writer, header []string, rows [][]string) error {
	table := tablewriter.NewTable(out,
		tablewriter.WithRenderer(renderer.NewBlueprint(tw.Rendition{
			Borders:  tw.BorderNone,
			Settings: tw.Settings{Lines: tw.LinesNone, Separators: tw.SeparatorsNone},
		})),
		tablewriter.WithHeaderAlignment(tw.AlignLeft),
		tablewriter.WithHeaderAutoFormat(tw.Off),
		tablewriter.WithRowAlignment(tw.AlignLeft),
		tablewriter.WithHeaderAutoWrap(tw.WrapNone),
		tablewriter.WithRowAutoWrap(tw.WrapNone),
		tablewriter.WithPadding(tw.Padding{Right: "  ", Overwrite: true}),
	)
	titles := make([]string, len(header))
	for i, title := range header {
		titles[i] = strings.ToUpper(title)
	}
	table.Header(titles)
	if err := table.Bulk(rows); err != nil {
		return err
	}
	return table.Render()
}

// writeSection prints a table with a title, or "none" if it has no rows.
func writeSection(out io.Writer, title string, header []string, rows [][]string) error {
	if len(rows) == 0 {
		_, err := fmt.Fprintf(out, "%s: none\n\n", title)
		return err
	}
	if _, err := fmt.Fprintf(out, "%s:\n", title); err != nil {
		return err
	}
	if err := writeTable(out, header, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintln(out)
	return err
}

// timeText formats a time in UTC; the zero time is "-".
func timeText(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.DateTime)
}

// yesNo returns "yes" or "no".
func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
