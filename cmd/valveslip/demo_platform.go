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

// platformLoad is how many requests a bounded load sends.
const platformLoad = 300

// runPlatformDemo runs a deployment on the users' platform's dialect until it is
// interrupted, or with once a bounded load against it.
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
	running.Announce(output)
	if !once {
		<-ctx.Done()
		return nil
	}
	report := running.Load(ctx, platformLoad)
	fmt.Fprintf(output, "\nsent %d, served %d, refused as not run %d, failed %d; ran twice %d, ran though refused %d\n",
		report.Sent, report.Served, report.RefusedNotRun, report.Failed, report.RanTwice, report.RanThoughRefused)
	if report.Broken() {
		return &exitError{code: exitBroken, err: eris.New("a promise broke")}
	}
	return nil
}
