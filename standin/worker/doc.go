// Package worker is a stand-in of the users' platform's workers: it runs
// requests and streams, takes orders by count and fence, and misbehaves as it is
// told to.
package worker
