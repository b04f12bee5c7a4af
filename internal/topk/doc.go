// Package topk keeps the first few of many values by an order.
package topk
