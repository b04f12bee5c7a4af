package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/settings"
)

// systemStatus is the state of the system that the status command prints.
type systemStatus struct {
	Members     []admin.Member     `json:"members"`
	Controllers []admin.Controller `json:"controllers"`
	Machines    []admin.Machine    `json:"machines"`
	Replicas    []admin.Replica    `json:"replicas"`
	Queues      []admin.Queue      `json:"queues"`
}

// clearScreen is the control sequence that moves the cursor to the top left of a terminal
// and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

// statusCommand returns the command that prints the state of the system, once or
// repeatedly.
func statusCommand(out io.Writer) *ffcli.Command {
	flags, o := operatorFlags("status", out)
	watch := flags.Bool("watch", false, "print anew until interrupted")
	interval := flags.Duration("interval", 2*time.Second, "time between two prints of --watch")
	return operatorCommand("[flags]", "print nodes, controllers, machines, replicas and queues", flags, 0, 0, func(ctx context.Context, _ []string) error {
		client, err := o.newClient(adminTimeout)
		if err != nil {
			return err
		}
		for {
			status, err := readStatus(ctx, client)
			if err != nil {
				return err
			}
			if *watch && !o.json {
				fmt.Fprint(o.out, clearScreen)
			}
			if err := o.printValue(status, status.write); err != nil || !*watch {
				return err
			}
			select {
			case <-time.After(*interval):
			case <-ctx.Done():
				return nil
			}
		}
	})
}

// readStatus reads the state of the system from the administration API.
func readStatus(ctx context.Context, client *admin.Client) (*systemStatus, error) {
	status := &systemStatus{}
	var err error
	if status.Members, err = client.Members(ctx); err != nil {
		return nil, err
	}
	if status.Controllers, err = client.Controllers(ctx); err != nil {
		return nil, err
	}
	if status.Machines, err = client.Machines(ctx); err != nil {
		return nil, err
	}
	if status.Replicas, err = client.Replicas(ctx); err != nil {
		return nil, err
	}
	status.Queues, err = client.Queues(ctx)
	return status, err
}

// write prints the status as tables.
func (s *systemStatus) write(out io.Writer) error {
	var members, controllers, machines, queues [][]string
	for _, m := range s.Members {
		members = append(members, []string{string(m.ID), string(m.Zone), m.State, m.AdminAddress, fmt.Sprint(m.Revision), fmt.Sprint(m.Behind)})
	}
	for _, c := range s.Controllers {
		controllers = append(controllers, []string{string(c.Zone), string(c.Node), fmt.Sprint(c.Token), yesNo(c.Ready), fmt.Sprintf("%d/%d", c.Sealed, c.Machines)})
	}
	for _, m := range s.Machines {
		machines = append(machines, []string{string(m.ID), string(m.Zone), m.Pool, yesNo(m.Sealed), yesNo(m.Leaving),
			settings.FormatBytes(m.UsedBytes) + "/" + settings.FormatBytes(m.MemoryBytes), fmt.Sprintf("%d/%d", m.Running, m.Slots), fmt.Sprint(m.Queued)})
	}
	for _, q := range s.Queues {
		queues = append(queues, []string{string(q.Model), string(q.Node), fmt.Sprint(q.Waiting), fmt.Sprint(q.Running), fmt.Sprintf("%.1fs", q.OldestWaitSeconds)})
	}
	for _, section := range []struct {
		title  string
		header []string
		rows   [][]string
	}{
		{"nodes", []string{"node", "zone", "state", "admin address", "revision", "behind"}, members},
		{"controllers", []string{"zone", "node", "token", "ready", "sealed"}, controllers},
		{"machines", []string{"machine", "zone", "pool", "sealed", "leaving", "memory", "running", "queued"}, machines},
		{"replicas", replicaHeader, replicaRows(s.Replicas)},
		{"queues", []string{"model", "node", "waiting", "running", "oldest"}, queues},
	} {
		if err := writeSection(out, section.title, section.header, section.rows); err != nil {
			return err
		}
	}
	return nil
}

// replicaHeader is the table header for replicaRows.
var replicaHeader = []string{"model", "machine", "zone", "state", "version", "memory", "since"}

// replicaRows returns the table rows of replicas.
func replicaRows(replicas []admin.Replica) [][]string {
	var rows [][]string
	for _, r := range replicas {
		rows = append(rows, []string{string(r.Model), string(r.Machine), string(r.Zone), r.State, r.Version, settings.FormatBytes(r.Bytes), timeText(r.Since)})
	}
	return rows
}
