// Package demo runs a whole deployment of ordinary size in one process over
// loopback TCP: the platform's stand-ins, model engines and nodes in three
// zones. It can also send a bounded mixed load and check every promise that can
// be seen from outside.
package demo
