// Package worker is a stand-in of the workers of the users' platform. It runs
// requests and streams, accepts orders only with the expected sequence number
// and a current fencing token, and fails requests as a test configures it.
package worker
