package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// init keeps main on the thread that starts the nodes: the kernel ends them when that thread ends.
func init() { runtime.LockOSThread() }

// The exit codes of a script.
const (
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: stand FOLDER")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	rec := &recorder{began: time.Now(), file: file}
	broken, err := streams(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.log("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		rec.log("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
}
