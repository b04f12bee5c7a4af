// Package hangup installs a handler for SIGHUP in a process that runs a node, as early as
// possible: while packages are initialized, before main.
//
// SIGHUP terminates a process until it installs a handler, and the platform may send SIGHUP
// at any time. Of the 23 ms from the start of the process to main, 15 ms go to the package
// that parses the schemas of messages (see GODEBUG=inittrace=1); on a busy machine these are
// hundreds of milliseconds. Go initializes packages in the order of their import paths as
// far as their imports allow. This package imports only what it needs for signals, so it is
// among the first of the program's own packages.
package hangup
