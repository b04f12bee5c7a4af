package main

import (
	"flag"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// flagsFirst moves flags that stand after arguments before them, so that both
// orders mean the same. What follows "--" stays as it is.
func flagsFirst(root *ffcli.Command, arguments []string) []string {
	command := root
	var ordered []string
	for len(arguments) > 0 {
		next := subcommand(command, arguments[0])
		if next == nil {
			break
		}
		command, ordered, arguments = next, append(ordered, arguments[0]), arguments[1:]
	}
	var flags, rest []string
	for len(arguments) > 0 {
		argument := arguments[0]
		arguments = arguments[1:]
		switch {
		case argument == "--":
			rest = append(append(rest, argument), arguments...)
			arguments = nil
		case len(argument) > 1 && strings.HasPrefix(argument, "-"):
			flags = append(flags, argument)
			if takesValue(command.FlagSet, argument) && len(arguments) > 0 {
				flags, arguments = append(flags, arguments[0]), arguments[1:]
			}
		default:
			rest = append(rest, argument)
		}
	}
	return append(ordered, append(flags, rest...)...)
}

// subcommand returns the command of a name below another, or nil.
func subcommand(of *ffcli.Command, name string) *ffcli.Command {
	for _, command := range of.Subcommands {
		if command.Name == name {
			return command
		}
	}
	return nil
}

// takesValue reports whether a flag's value is the argument after it.
func takesValue(set *flag.FlagSet, argument string) bool {
	name := strings.TrimLeft(argument, "-")
	if strings.Contains(name, "=") || set == nil {
		return false
	}
	known := set.Lookup(name)
	if known == nil {
		return false
	}
	boolean, isBoolean := known.Value.(interface{ IsBoolFlag() bool })
	return !isBoolean || !boolean.IsBoolFlag()
}
