// Package demand sums what routers report of their waiting and running requests
// for the one that decides on placement.
package demand
