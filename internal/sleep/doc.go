// Package sleep provides a sleep that a context can interrupt.
package sleep
