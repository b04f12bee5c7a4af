package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns an error if it could not run.
var cases = map[string]func(w *world, trouble bool) error{
	"closed":  closedByCallers,
	"takenup": takenUp,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drive CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(w.close(cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")))
}
