package binaryheap

import (
	"math/rand/v2"
	"slices"
	"testing"
)

type entry struct{ value, index int }

func (e *entry) Before(other *entry) bool { return e.value < other.value }
func (e *entry) Moved(index int)          { e.index = index }

func TestRandomOperationsKeepTheOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var heap Heap[*entry]
	var held []*entry
	for range 5000 {
		switch choice := random.IntN(4); {
		case choice < 2 || len(held) == 0:
			added := &entry{value: random.IntN(1000)}
			heap.Push(added)
			held = append(held, added)
		case choice == 2:
			at := random.IntN(len(held))
			held[at].value = random.IntN(1000)
			heap.Fix(held[at].index)
		default:
			at := random.IntN(len(held))
			heap.Remove(held[at].index)
			held = slices.Delete(held, at, at+1)
		}
		if len(held) != heap.Len() {
			t.Fatalf("%d elements, want %d", heap.Len(), len(held))
		}
		if len(held) > 0 {
			least := slices.MinFunc(held, func(a, b *entry) int { return a.value - b.value })
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
