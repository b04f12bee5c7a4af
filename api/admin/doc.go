// Package admin serves the operators' administration API under /admin/v1: the
// settings tree with its history, the state of the system, the reasons for its
// decisions and a stream of events. Editing the tree is the only write.
package admin
