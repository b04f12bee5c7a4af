// Package upstream keeps connections to the machines that serve requests. A connection carries one
// request at a time. The package never sends a request again by itself: the caller learns whether
// bytes of the request were sent, and decides.
package upstream
