// Package admin serves the administration API for operators under /admin/v1: the
// settings tree with its history, the state of the cluster, the reasons for
// placement and routing decisions, and a stream of events. An edit of the
// settings tree is the only operation that changes anything. The package also
// serves the status page, and has a client for the API.
package admin
