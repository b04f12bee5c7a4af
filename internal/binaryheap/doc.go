// Package binaryheap adds a type parameter to container/heap, so that each
// user states only the order of its elements.
package binaryheap
