// Command drive runs the cases of the second review that are scripts: it starts nodes as processes, with stand-ins of
// the store, of workers and of callers, causes the disruption of a case, and judges what stand-ins saw.
package main
