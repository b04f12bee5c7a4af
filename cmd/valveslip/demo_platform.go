package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"

	demo "github.com/valveslip/valveslip/demo/platform"
)

// platformLoadRequests is the number of requests of a bounded load.
const platformLoadRequests = 300

// runPlatformDemo runs a deployment that uses the API dialect of the users' platform
// until it is interrupted. If once is true, it sends a bounded load and stops.
func runPlatformDemo(ctx context.Context, output io.Writer, once, verbose bool) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := io.Discard
	if verbose {
		log = os.Stderr
	}
	running, err := demo.Start(log)
	if err != nil {
		return err
	}
	defer running.Stop()
	running.PrintAddresses(output)
	if !once {
		<-ctx.Done()
		return nil
	}
	report := running.Load(ctx, platformLoadRequests)
	fmt.Fprintf(output, "\nsent %d, served %d, refused as not run %d, failed %d; ran twice %d, ran though refused %d\n",
		report.Sent, report.Served, report.RefusedNotRun, report.Failed, report.RanTwice, report.RanThoughRefused)
	if report.Broken() {
		return &exitError{code: exitViolation, err: eris.New("a promise broke")}
	}
	return nil
}
