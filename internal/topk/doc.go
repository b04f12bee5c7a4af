// Package topk selects the first k of many values in a given order.
package topk
