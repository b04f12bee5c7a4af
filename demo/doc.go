// Package demo runs a complete deployment in one process over loopback TCP:
// stand-ins of the platform's services, model engines, and nodes in three zones.
// It can also send a bounded mixed load and check the promises that callers and
// engines can observe.
package demo
