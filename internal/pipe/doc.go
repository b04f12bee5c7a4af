// Package pipe provides an in-memory listener for tests. A server and its clients that use
// it inside a testing/synctest bubble run entirely on the bubble's fake clock.
package pipe
