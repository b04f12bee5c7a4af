package main

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/valveslip/valveslip/platform"
)

// initTracePrefix precedes the name of an initialized package of this program in the
// output of GODEBUG=inittrace=1.
const initTracePrefix = "init github.com/valveslip/valveslip/"

// TestHangupDuringStartDoesNotTerminateNode guards against a node that SIGHUP terminates
// within the first 20 ms after its start. This happened when the handler was installed only
// after all packages had been initialized and the command line had been parsed.
func TestHangupDuringStartDoesNotTerminateNode(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(buildProgram(t), "node", "--platform")
	command.Env = []string{platform.SettingsVariable + "=" + settings, "GODEBUG=inittrace=1"}
	output, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewReader(output)
	// The first SIGHUP arrives once the trace shows that package hangup is initialized.
	waitForHandler(t, lines)
	sendHangup(t, command)
	go func() {
		pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
		if err != nil {
			t.Error(err)
			return
		}
		// The second SIGHUP arrives while the program reads its settings from the named pipe.
		// The invalid settings then make the program exit by itself.
		sendHangup(t, command)
		_, _ = pipe.WriteString("no settings")
		_ = pipe.Close()
	}()
	rest, err := io.ReadAll(lines)
	if err != nil {
		t.Fatal(err)
	}
	_ = command.Wait()
	if code := command.ProcessState.ExitCode(); code != exitInvalid {
		t.Fatalf("the node ended with %s, want the exit code for invalid settings:\n%s", command.ProcessState, rest)
	}
}

// sendHangup sends SIGHUP to the running program.
func sendHangup(t *testing.T, command *exec.Cmd) {
	if err := command.Process.Signal(syscall.SIGHUP); err != nil {
		t.Error(err)
	}
}

// waitForHandler reads the trace until package hangup, which installs the handler, is
// initialized. It checks that this happens before package wire, whose initialization is
// slow.
func waitForHandler(t *testing.T, lines *bufio.Reader) {
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			t.Fatalf("the trace ended before package hangup was initialized: %v", err)
		}
		name, own := strings.CutPrefix(line, initTracePrefix)
		switch {
		case strings.HasPrefix(name, "cmd/valveslip/hangup "):
			return
		case own && strings.HasPrefix(name, "wire "):
			t.Errorf("a slow package was initialized before package hangup: %s", line)
		}
	}
}

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "valveslip")
	if output, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return program
}
