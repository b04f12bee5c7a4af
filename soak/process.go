package soak

import (
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/proxy"
)

const (
	// readyPollInterval is the time between two readiness checks of a node, readyProbeTimeout
	// the time limit of one.
	readyPollInterval = 50 * time.Millisecond
	readyProbeTimeout = time.Second
	// restartDelay is the time from an unexpected end of a process to its restart.
	restartDelay = 500 * time.Millisecond
)

// process supervises the program of one node and restarts it when it has ended.
type process struct {
	*run
	index int
	ip    string
	// callers, store and peers are the proxies of the node's links.
	callers, store, peers *proxy.Proxy
	client                *http.Client
	meter                 quotaHolder

	mu      sync.Mutex
	command *exec.Cmd
	life    int
	// endRequested is set once the current process was told to end, stopping once it was told
	// so by SIGTERM, and ending once the run ends.
	endRequested, stopping, ending bool
	// wasReady is set once the current process was ready. sentSignals are the signals sent to
	// it, and restartAfter is the pause between its end and the next start.
	wasReady     bool
	sentSignals  []syscall.Signal
	restartAfter time.Duration
	// runsEarlier is set while the node's program is the earlier build, keepsEarlier if it
	// remains so for the whole run.
	runsEarlier, keepsEarlier bool
	// pauses is the number of active faults that pause the current process.
	pauses int
	// onEnd holds the functions to call when the current process ends.
	onEnd []func(end lifeEnd)
	// endOutage ends the disturbance that began with the end of the previous process; nil for
	// the first process.
	endOutage func()
	done      chan struct{}
}

// lifeEnd describes how a process ended.
type lifeEnd struct {
	at    time.Duration
	state *os.ProcessState
	// unready is set if a signal ended the program before it was ready. The kernel does that
	// to a program that has not installed its signal handlers yet.
	unready bool
}

// path returns the path of one of the node's files.
func (p *process) path(suffix string) string {
	return filepath.Join(p.options.LogDir, "node-"+strconv.Itoa(p.index)+suffix)
}

// supervise starts the program again and again until the run ends.
func (p *process) supervise() {
	defer close(p.done)
	for p.startLife() {
		state := p.wait()
		select {
		case <-time.After(p.recordEnd(state)):
		case <-p.ctx.Done():
		}
	}
}

// startLife starts the next process. It returns false if the run ends.
func (p *process) startLife() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ending {
		return false
	}
	restored := p.endOutage
	if restored == nil {
		restored = p.recordDisturbance(p.recorder.elapsed())
	}
	p.life++
	command, err := p.launch()
	if err != nil {
		p.fail(err)
		return false
	}
	p.command, p.restartAfter, p.onEnd = command, restartDelay, nil
	p.endRequested, p.stopping, p.wasReady, p.sentSignals, p.pauses = false, false, false, nil, 0
	go p.awaitReady(p.life, restored)
	return true
}

// launch writes the settings and starts the program.
func (p *process) launch() (*exec.Cmd, error) {
	settings := nodeSettings(p.index, len(p.nodes), p.ip, p.store.Address(), &p.options.Schedule, p.life == 1)
	if err := writeSettings(p.path(".json"), &settings); err != nil {
		return nil, err
	}
	output, err := os.OpenFile(p.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrap(err, "open the log file of a node")
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(p.binary(), "node", "--platform")
	command.Env = []string{platform.SettingsVariable + "=" + p.path(".json")}
	command.Stdout, command.Stderr = output, output
	return command, eris.Wrap(p.spawner.start(command), "start the program of a node")
}

// binary returns the path of the program to start next. The caller holds the lock.
func (p *process) binary() string {
	if p.runsEarlier {
		return p.options.From
	}
	return p.options.Binary
}

// replace performs a planned stop and starts the earlier or the current build instead.
func (p *process) replace(earlier bool, pause time.Duration) bool {
	if !p.end(syscall.SIGTERM, pause) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runsEarlier = p.options.From != "" && (earlier || p.keepsEarlier)
	return true
}

// awaitReady ends a disturbance once a process is ready, or has been replaced by the next one.
func (p *process) awaitReady(life int, restored func()) {
	for p.ctx.Err() == nil {
		if now, _ := p.currentLife(); now != life {
			restored()
			return
		}
		if p.ready() {
			p.mu.Lock()
			p.wasReady = p.wasReady || p.life == life
			p.mu.Unlock()
			restored()
			return
		}
		time.Sleep(readyPollInterval)
	}
}

// ready queries the node's readiness directly, not through a proxy.
func (p *process) ready() bool {
	client := http.Client{Timeout: readyProbeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + net.JoinHostPort(p.ip, strconv.Itoa(readinessPort)) + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// wait waits for the end of the program.
func (p *process) wait() *os.ProcessState {
	p.mu.Lock()
	command := p.command
	p.mu.Unlock()
	_ = command.Wait()
	return command.ProcessState
}

// recordEnd records the end of a process and returns the pause before the next start.
func (p *process) recordEnd(state *os.ProcessState) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := lifeEnd{at: p.recorder.elapsed(), state: state}
	if status, known := state.Sys().(syscall.WaitStatus); known && status.Signaled() {
		end.unready = !p.wasReady && slices.Contains(p.sentSignals, status.Signal())
	}
	for _, ended := range p.onEnd {
		ended(end)
	}
	if !p.endRequested && !p.ending && !end.unready {
		p.recorder.record(func(h *check.History) {
			h.Exits = append(h.Exits, check.Exit{Node: p.index, At: end.at, Status: state.String()})
		})
	}
	p.endOutage = p.recordDisturbance(end.at)
	p.command = nil
	return p.restartAfter
}

// recordDisturbance records that the process is disturbed until the returned function is
// called.
func (p *process) recordDisturbance(from time.Duration) func() {
	return p.recorder.beginDisturbance(check.Disturbance{Node: p.index, Scope: check.ScopeProcess, From: from})
}

// currentLife returns the number of the node's last started process, and whether it runs.
func (p *process) currentLife() (life int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life, p.command != nil
}

// end tells the program to end by a signal and to start again after a pause. A program that is
// already stopping and is told to stop again only gets the signal.
func (p *process) end(signal syscall.Signal, pause time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	if signal == syscall.SIGTERM && p.stopping {
		return p.deliver(signal)
	}
	at := p.recorder.elapsed()
	restored := p.recordDisturbance(at)
	p.onEnd = append(p.onEnd, func(lifeEnd) { restored() })
	p.endRequested, p.restartAfter, p.runsEarlier = true, pause, p.keepsEarlier
	if signal == syscall.SIGTERM {
		p.stopping = true
		p.onEnd = append(p.onEnd, p.stopRecorder(at))
	}
	return p.deliver(signal)
}

// deliver sends a signal to the running program. The caller holds the lock.
func (p *process) deliver(signal syscall.Signal) bool {
	p.sentSignals = append(p.sentSignals, signal)
	return p.command.Process.Signal(signal) == nil
}

// stopRecorder returns a function that records a planned stop when the process ends.
func (p *process) stopRecorder(begun time.Duration) func(lifeEnd) {
	return func(end lifeEnd) {
		if end.unready {
			return
		}
		stop := check.Stop{Node: p.index, At: begun, Ended: end.at, Status: end.state.ExitCode()}
		p.recorder.record(func(h *check.History) { h.Stops = append(h.Stops, stop) })
	}
}

// signal sends a signal that does not end the program.
func (p *process) signal(signal syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && p.deliver(signal)
}

// pause suspends the program with SIGSTOP for the given time.
func (p *process) pause(length time.Duration) bool {
	restored := p.recordDisturbance(p.recorder.elapsed())
	life, paused := p.stopExecution()
	if !paused {
		restored()
		return false
	}
	p.undoAfter(length, func() {
		p.resumeExecution(life)
		restored()
	})
	return true
}

// stopExecution suspends the current process and returns its number.
func (p *process) stopExecution() (life int, stopped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || !p.deliver(syscall.SIGSTOP) {
		return 0, false
	}
	p.pauses++
	return p.life, true
}

// resumeExecution ends one pause of a process, which continues once all its pauses have ended.
func (p *process) resumeExecution(life int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life != life {
		return
	}
	if p.pauses--; p.pauses <= 0 && p.command != nil {
		p.deliver(syscall.SIGCONT)
	}
}

// endForGood kills the program, prevents a restart and waits until the supervision has ended.
func (p *process) endForGood() {
	p.mu.Lock()
	p.ending = true
	if p.command != nil {
		_ = p.command.Process.Kill()
	}
	p.mu.Unlock()
	<-p.done
}
