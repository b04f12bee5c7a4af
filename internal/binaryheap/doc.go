// Package binaryheap wraps container/heap in a generic type, so that each user
// implements only the order of its elements.
package binaryheap
