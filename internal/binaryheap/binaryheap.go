package binaryheap

import "container/heap"

// Element is the constraint on the elements of a Heap.
type Element[E any] interface {
	// Before reports whether this element sorts before the other.
	Before(other E) bool
	// Moved tells the element its current index, which Fix and Remove take.
	Moved(index int)
}

// Heap is a binary heap. The zero value is an empty heap that is ready for use.
type Heap[E Element[E]] struct{ items items[E] }

// Len returns the number of elements.
func (h *Heap[E]) Len() int { return len(h.items) }

// First returns the first element; the heap must not be empty.
func (h *Heap[E]) First() E { return h.items[0] }

// All returns the elements in no particular order. The caller must not modify the slice.
func (h *Heap[E]) All() []E { return h.items }

// Push adds an element.
func (h *Heap[E]) Push(element E) { heap.Push(&h.items, element) }

// Pop removes and returns the first element; the heap must not be empty.
func (h *Heap[E]) Pop() E { return heap.Pop(&h.items).(E) }

// Fix restores the order after the element at index has changed.
func (h *Heap[E]) Fix(index int) { heap.Fix(&h.items, index) }

// Remove removes the element at index.
func (h *Heap[E]) Remove(index int) { heap.Remove(&h.items, index) }

// items implements heap.Interface.
type items[E Element[E]] []E

func (s items[E]) Len() int           { return len(s) }
func (s items[E]) Less(i, j int) bool { return s[i].Before(s[j]) }

func (s items[E]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].Moved(i)
	s[j].Moved(j)
}

func (s *items[E]) Push(value any) {
	element := value.(E)
	element.Moved(len(*s))
	*s = append(*s, element)
}

func (s *items[E]) Pop() any {
	last := len(*s) - 1
	element := (*s)[last]
	var zero E
	(*s)[last] = zero
	*s = (*s)[:last]
	return element
}
