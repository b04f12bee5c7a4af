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
	// readyPoll spaces looks at whether a node is ready, probeLimit bounds one.
	readyPoll  = 50 * time.Millisecond
	probeLimit = time.Second
	// startRetry spaces starts of a process that ended by itself.
	startRetry = 500 * time.Millisecond
)

// process runs one node's program, and starts it again when it has ended.
type process struct {
	*run
	index int
	ip    string
	// callers, store and peers are the proxies of the node's links.
	callers, store, peers *proxy.Proxy
	client                *http.Client
	meter                 meter

	mu      sync.Mutex
	command *exec.Cmd
	life    int
	// told is set once the present life was told to end, stopping when by SIGTERM;
	// restartAfter is the pause before the next life.
	told, stopping, ending bool
	// served is set once the present life was ready, sent holds the signals that it
	// got.
	served       bool
	sent         []syscall.Signal
	restartAfter time.Duration
	// earlier is set while the node's program is the earlier build, stays if it is to the end.
	earlier, stays bool
	// pauses counts the faults under way that pause the present life.
	pauses int
	// ended are called with the end of the present life.
	ended []func(end lifeEnd)
	// back ends the disturbance that began with the end of the life before; nil at
	// first.
	back func()
	done chan struct{}
}

// lifeEnd is how a life ended.
type lifeEnd struct {
	at    time.Duration
	state *os.ProcessState
	// unready is set when a signal ended the program before it was ready: the system
	// does that to a program that does not handle signals yet.
	unready bool
}

// path of one of the node's files.
func (p *process) path(suffix string) string {
	return filepath.Join(p.options.LogDir, "node-"+strconv.Itoa(p.index)+suffix)
}

// supervise starts the program over and over until the run ends.
func (p *process) supervise() {
	defer close(p.done)
	for p.begin() {
		state := p.wait()
		select {
		case <-time.After(p.over(state)):
		case <-p.ctx.Done():
		}
	}
}

// begin starts a life; false when the run ends.
func (p *process) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ending {
		return false
	}
	restored := p.back
	if restored == nil {
		restored = p.disturb(p.recorder.now())
	}
	p.life++
	command, err := p.launch()
	if err != nil {
		p.fail(err)
		return false
	}
	p.command, p.restartAfter, p.ended = command, startRetry, nil
	p.told, p.stopping, p.served, p.sent, p.pauses = false, false, false, nil, 0
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
		return nil, eris.Wrap(err, "log of a node")
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(p.binary(), "node", "--platform")
	command.Env = []string{platform.SettingsVariable + "=" + p.path(".json")}
	command.Stdout, command.Stderr = output, output
	return command, eris.Wrap(p.spawner.start(command), "start a node")
}

// binary is the program of the next life. The caller holds the lock.
func (p *process) binary() string {
	if p.earlier {
		return p.options.From
	}
	return p.options.Binary
}

// replace stops the program as planned and starts the earlier or the present build instead.
func (p *process) replace(earlier bool, pause time.Duration) bool {
	if !p.end(syscall.SIGTERM, pause) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.earlier = p.options.From != "" && (earlier || p.stays)
	return true
}

// awaitReady ends a disturbance once a life is ready.
func (p *process) awaitReady(life int, restored func()) {
	for p.ctx.Err() == nil {
		if now, _ := p.present(); now != life {
			restored()
			return
		}
		if p.ready() {
			p.mu.Lock()
			p.served = p.served || p.life == life
			p.mu.Unlock()
			restored()
			return
		}
		time.Sleep(readyPoll)
	}
}

// ready asks the node itself, not through a proxy.
func (p *process) ready() bool {
	client := http.Client{Timeout: probeLimit, Transport: &http.Transport{DisableKeepAlives: true}}
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

// over notes the end of a life and returns the pause before the next.
func (p *process) over(state *os.ProcessState) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := lifeEnd{at: p.recorder.now(), state: state}
	if status, known := state.Sys().(syscall.WaitStatus); known && status.Signaled() {
		end.unready = !p.served && slices.Contains(p.sent, status.Signal())
	}
	for _, ended := range p.ended {
		ended(end)
	}
	if !p.told && !p.ending && !end.unready {
		p.recorder.record(func(h *check.History) {
			h.Exits = append(h.Exits, check.Exit{Node: p.index, At: end.at, Status: state.String()})
		})
	}
	p.back = p.disturb(end.at)
	p.command = nil
	return p.restartAfter
}

// disturb notes that the process is out of order.
func (p *process) disturb(from time.Duration) func() {
	return p.recorder.disturb(check.Disturbance{Node: p.index, Scope: check.ScopeProcess, From: from})
}

// present returns the life that runs, and whether one does.
func (p *process) present() (life int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life, p.command != nil
}

// end tells the program to end by a signal and to come back after a pause. One that
// is stopping already and is asked to stop gets the signal again and nothing else.
func (p *process) end(signal syscall.Signal, pause time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	if signal == syscall.SIGTERM && p.stopping {
		return p.deliver(signal)
	}
	at := p.recorder.now()
	restored := p.disturb(at)
	p.ended = append(p.ended, func(lifeEnd) { restored() })
	p.told, p.restartAfter, p.earlier = true, pause, p.stays
	if signal == syscall.SIGTERM {
		p.stopping = true
		p.ended = append(p.ended, p.noteStop(at))
	}
	return p.deliver(signal)
}

// deliver sends a signal to the program, which runs. The caller holds the lock.
func (p *process) deliver(signal syscall.Signal) bool {
	p.sent = append(p.sent, signal)
	return p.command.Process.Signal(signal) == nil
}

// noteStop returns what records a planned stop at its end.
func (p *process) noteStop(begun time.Duration) func(lifeEnd) {
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

// pause stops the program's execution for a while.
func (p *process) pause(length time.Duration) bool {
	restored := p.disturb(p.recorder.now())
	life, paused := p.holdStill()
	if !paused {
		restored()
		return false
	}
	p.later(length, func() {
		p.goOn(life)
		restored()
	})
	return true
}

// holdStill stops the execution of the present life, and returns which one that is.
func (p *process) holdStill() (life int, stopped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || !p.deliver(syscall.SIGSTOP) {
		return 0, false
	}
	p.pauses++
	return p.life, true
}

// goOn ends a pause of a life; it runs again once all of them have ended.
func (p *process) goOn(life int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.life != life {
		return
	}
	if p.pauses--; p.pauses <= 0 && p.command != nil {
		p.deliver(syscall.SIGCONT)
	}
}

// finish ends the program for good.
func (p *process) finish() {
	p.mu.Lock()
	p.ending = true
	if p.command != nil {
		_ = p.command.Process.Kill()
	}
	p.mu.Unlock()
	<-p.done
}
