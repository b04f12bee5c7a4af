package hangup

import (
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
)

// Command is the name of the subcommand that runs a node.
const Command = "node"

// Signals receives SIGHUP in a process that runs a node. In any other process SIGHUP
// terminates the process, as is usual for a command on a terminal.
var Signals = notifyIfNode(os.Args[1:])

// notifyIfNode returns a channel that receives SIGHUP if the arguments run a node. The
// channel buffers one signal, which is enough because every SIGHUP has the same effect.
func notifyIfNode(arguments []string) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	if runsNode(arguments) {
		signal.Notify(signals, syscall.SIGHUP)
	}
	return signals
}

// Release restores the default action of SIGHUP, which terminates the process.
func Release() { signal.Reset(syscall.SIGHUP) }

// runsNode reports whether the first argument that is not a flag is Command.
func runsNode(arguments []string) bool {
	first := slices.IndexFunc(arguments, func(argument string) bool { return !strings.HasPrefix(argument, "-") })
	return first >= 0 && arguments[first] == Command
}
