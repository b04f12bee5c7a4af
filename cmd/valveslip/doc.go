// Command valveslip runs a node of the serving system. Its other subcommands are the
// tools for operators, tests and experiments.
package main
