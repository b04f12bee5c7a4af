package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/api/admin"
)

// eventsReconnectDelay is the delay before a broken event stream is reopened.
const eventsReconnectDelay = time.Second

// eventsCommand returns the command that prints decisions and changes as they happen.
func eventsCommand(out io.Writer) *ffcli.Command {
	flags, o := operatorFlags("events", out)
	kind := flags.String("kind", "", "only events of this kind: settings, decision, order, controller, member, machine or request")
	follow := flags.Bool("follow", true, "open the stream again when it breaks")
	return operatorCommand("[flags]", "print decisions and changes as they happen", flags, 0, 0, func(ctx context.Context, _ []string) error {
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		client, err := o.newClient(0)
		if err != nil {
			return err
		}
		var last uint64
		for {
			err := client.Events(ctx, last, admin.EventKind(*kind), func(event admin.Event) error {
				last = event.Number
				return o.printEvent(event)
			})
			if ctx.Err() != nil {
				return nil
			}
			if last == 0 && err != nil || !*follow {
				return err
			}
			select {
			case <-time.After(eventsReconnectDelay):
			case <-ctx.Done():
				return nil
			}
		}
	})
}

// printEvent prints an event on one line, as text or as JSON.
func (o *operatorOptions) printEvent(event admin.Event) error {
	if o.json {
		return json.NewEncoder(o.out).Encode(event)
	}
	subject := event.Path
	for _, name := range []string{string(event.Model), string(event.Zone), string(event.Node)} {
		if subject == "" {
			subject = name
		}
	}
	_, err := fmt.Fprintf(o.out, "%s  %-10s  %s  %s\n", timeText(event.At), event.Kind, subject, event.Text)
	return err
}
