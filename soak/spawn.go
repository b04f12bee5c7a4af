package soak

import (
	"os/exec"
	"runtime"
	"syscall"
)

// spawner starts processes that the kernel kills when this process ends. The kernel sends the
// signal when the thread that started the process ends, so a single goroutine locked to its
// thread starts all of them.
type spawner struct {
	requests chan spawnRequest
}

type spawnRequest struct {
	command *exec.Cmd
	result  chan error
}

func newSpawner() *spawner {
	s := &spawner{requests: make(chan spawnRequest)}
	go s.run()
	return s
}

func (s *spawner) run() {
	runtime.LockOSThread()
	for request := range s.requests {
		request.result <- request.command.Start()
	}
}

// start starts a command in a process group of its own, so that signals of the terminal don't
// reach it.
func (s *spawner) start(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	result := make(chan error, 1)
	s.requests <- spawnRequest{command: command, result: result}
	return <-result
}

// close ends the spawner's goroutine. Call it only after every process has ended, since the
// end of its thread kills those left.
func (s *spawner) close() { close(s.requests) }
