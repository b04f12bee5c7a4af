package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// completionCommand returns the command that prints a script for shell completion of
// subcommands and flags. The function root returns the root command.
func completionCommand(out io.Writer, root func() *ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name:       "completion",
		ShortUsage: "valveslip completion <bash|zsh|fish>",
		ShortHelp:  "print a script for shell completion",
		LongHelp:   "For bash: source <(valveslip completion bash)",
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) != 1 {
				return flag.ErrHelp
			}
			words := completionWords(root(), "valveslip")
			switch arguments[0] {
			case "bash":
				return writeBashCompletion(out, words)
			case "zsh":
				if _, err := fmt.Fprintln(out, "autoload -U +X bashcompinit && bashcompinit"); err != nil {
					return err
				}
				return writeBashCompletion(out, words)
			case "fish":
				return writeFishCompletion(out, words)
			default:
				return usageError("no completion for %q, only for bash, zsh and fish", arguments[0])
			}
		},
	}
}

// completion holds the words that may follow a command.
type completion struct {
	// command is the command's full name, such as "valveslip tree get".
	command string
	// words are the names of the subcommands, followed by the flags.
	words []string
}

// completionWords returns the completions of a command and all commands below it.
func completionWords(command *ffcli.Command, name string) []completion {
	current := completion{command: name}
	var descendants []completion
	for _, subcommand := range command.Subcommands {
		current.words = append(current.words, subcommand.Name)
		descendants = append(descendants, completionWords(subcommand, name+" "+subcommand.Name)...)
	}
	if command.FlagSet != nil {
		command.FlagSet.VisitAll(func(f *flag.Flag) { current.words = append(current.words, "--"+f.Name) })
	}
	return append([]completion{current}, descendants...)
}

// writeBashCompletion writes a completion script for Bash.
func writeBashCompletion(out io.Writer, words []completion) error {
	var script strings.Builder
	script.WriteString("_valveslip() {\n  local word command=valveslip\n")
	script.WriteString("  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n    case \"$command $word\" in\n")
	for _, entry := range words[1:] {
		fmt.Fprintf(&script, "      %q) command=%q ;;\n", entry.command, entry.command)
	}
	script.WriteString("    esac\n  done\n  case \"$command\" in\n")
	for _, entry := range words {
		fmt.Fprintf(&script, "    %q) COMPREPLY=($(compgen -W %q -- \"${COMP_WORDS[COMP_CWORD]}\")) ;;\n", entry.command, strings.Join(entry.words, " "))
	}
	script.WriteString("  esac\n}\ncomplete -o default -F _valveslip valveslip\n")
	_, err := io.WriteString(out, script.String())
	return err
}

// writeFishCompletion writes a completion script for fish.
func writeFishCompletion(out io.Writer, words []completion) error {
	var script strings.Builder
	for _, entry := range words {
		condition := "__fish_use_subcommand"
		if parents := strings.Fields(entry.command)[1:]; len(parents) > 0 {
			condition = "__fish_seen_subcommand_from " + parents[len(parents)-1]
		}
		for _, word := range entry.words {
			if name, isFlag := strings.CutPrefix(word, "--"); isFlag {
				fmt.Fprintf(&script, "complete -c valveslip -n '%s' -l %s\n", condition, name)
				continue
			}
			fmt.Fprintf(&script, "complete -c valveslip -f -n '%s' -a %s\n", condition, word)
		}
	}
	_, err := io.WriteString(out, script.String())
	return err
}
