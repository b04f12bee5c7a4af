package main

import (
	"flag"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/valveslip/valveslip/internal/spelling"
)

// moveFlagsFirst moves the flags of a subcommand before its arguments, so that flags
// may also follow arguments, which the flag package does not support. Arguments
// after "--" keep their order.
func moveFlagsFirst(root *ffcli.Command, arguments []string) []string {
	command, ordered, arguments := resolveSubcommand(root, arguments)
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
			if takesNextArgument(command.FlagSet, argument) && len(arguments) > 0 {
				flags, arguments = append(flags, arguments[0]), arguments[1:]
			}
		default:
			rest = append(rest, argument)
		}
	}
	return append(ordered, append(flags, rest...)...)
}

// resolveSubcommand follows the subcommand names at the start of arguments. It returns
// the innermost subcommand, the names and the arguments after them.
func resolveSubcommand(root *ffcli.Command, arguments []string) (command *ffcli.Command, names, rest []string) {
	command = root
	for len(arguments) > 0 {
		next := findSubcommand(command, arguments[0])
		if next == nil {
			break
		}
		command, names, arguments = next, append(names, arguments[0]), arguments[1:]
	}
	return command, names, arguments
}

// checkSubcommandExists returns a usage error if the arguments name a subcommand that does
// not exist, even if they also ask for help.
func checkSubcommandExists(root *ffcli.Command, arguments []string) error {
	command, names, rest := resolveSubcommand(root, arguments)
	name := firstArgument(command.FlagSet, rest)
	if len(command.Subcommands) == 0 || name == "" {
		return nil
	}
	known := make([]string, len(command.Subcommands))
	for i, child := range command.Subcommands {
		known[i] = child.Name
	}
	hint := ""
	if nearest := spelling.Nearest(name, known); nearest != "" {
		hint = "; did you mean " + nearest + "?"
	}
	path := strings.Join(append([]string{root.Name}, names...), " ")
	return usageError("there is no subcommand %q%s; %s --help lists them", name, hint, path)
}

// firstArgument returns the first argument that is neither a flag nor the value of a flag,
// or an empty string if there is none. It also returns an empty string at an unknown flag,
// because the argument after it may be its value.
func firstArgument(set *flag.FlagSet, arguments []string) string {
	for len(arguments) > 0 {
		argument := arguments[0]
		arguments = arguments[1:]
		switch {
		case argument == "--":
			continue
		case len(argument) < 2 || !strings.HasPrefix(argument, "-"):
			return argument
		case takesNextArgument(set, argument) && len(arguments) > 0:
			arguments = arguments[1:]
		case !isKnownFlag(set, argument):
			return ""
		}
	}
	return ""
}

// isKnownFlag reports whether an argument is a flag of the set or a help flag.
func isKnownFlag(set *flag.FlagSet, argument string) bool {
	name, _, _ := strings.Cut(strings.TrimLeft(argument, "-"), "=")
	return name == "help" || name == "h" || set != nil && set.Lookup(name) != nil
}

// findSubcommand returns the direct subcommand with a name, or nil.
func findSubcommand(parent *ffcli.Command, name string) *ffcli.Command {
	for _, command := range parent.Subcommands {
		if command.Name == name {
			return command
		}
	}
	return nil
}

// takesNextArgument reports whether the argument after a flag is the flag's value. That is
// so for a known flag that is not boolean and has no "=".
func takesNextArgument(set *flag.FlagSet, argument string) bool {
	name := strings.TrimLeft(argument, "-")
	if strings.Contains(name, "=") || set == nil {
		return false
	}
	definition := set.Lookup(name)
	if definition == nil {
		return false
	}
	boolFlag, hasBoolMethod := definition.Value.(interface{ IsBoolFlag() bool })
	return !hasBoolMethod || !boolFlag.IsBoolFlag()
}
