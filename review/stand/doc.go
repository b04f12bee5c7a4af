// Command stand runs the case of the review that is a script. It starts the nodes as separate
// processes and plays the platform's store, the workers and the clients over loopback.
package main
