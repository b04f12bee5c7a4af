package binaryheap

import (
	"math/rand/v2"
	"slices"
	"testing"
)

type entry struct{ value, index int }

func (e *entry) Before(other *entry) bool { return e.value < other.value }
func (e *entry) Moved(index int)          { e.index = index }

// TestRandomOperationsKeepHeapOrder guards against a heap that loses its order or the indexes of
// its elements when elements are pushed, changed in place and removed.
func TestRandomOperationsKeepHeapOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var heap Heap[*entry]
	var elements []*entry
	for range 5000 {
		switch choice := random.IntN(4); {
		case choice < 2 || len(elements) == 0:
			added := &entry{value: random.IntN(1000)}
			heap.Push(added)
			elements = append(elements, added)
		case choice == 2:
			at := random.IntN(len(elements))
			elements[at].value = random.IntN(1000)
			heap.Fix(elements[at].index)
		default:
			at := random.IntN(len(elements))
			heap.Remove(elements[at].index)
			elements = slices.Delete(elements, at, at+1)
		}
		if len(elements) != heap.Len() {
			t.Fatalf("%d elements, want %d", heap.Len(), len(elements))
		}
		if len(elements) > 0 {
			least := slices.MinFunc(elements, func(a, b *entry) int { return a.value - b.value })
			if heap.First().value != least.value {
				t.Fatalf("first is %d, want %d", heap.First().value, least.value)
			}
		}
	}
	last := -1
	for heap.Len() > 0 {
		next := heap.Pop()
		if next.value < last {
			t.Fatalf("%d after %d", next.value, last)
		}
		last = next.value
	}
}
