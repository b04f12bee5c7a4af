package shell

// orderedMap holds the last value of each key, in the order in which the keys were first put. Its
// zero value is empty. Both put and remove take constant time.
type orderedMap[K comparable, V any] struct {
	indexes map[K]int
	entries []orderedMapEntry[V]
}

type orderedMapEntry[V any] struct {
	value V
	// removed entries keep their index, so that the indexes of later entries stay valid.
	removed bool
}

// put sets the value of a key.
func (l *orderedMap[K, V]) put(key K, value V) {
	if index, known := l.indexes[key]; known {
		l.entries[index] = orderedMapEntry[V]{value: value}
		return
	}
	if l.indexes == nil {
		l.indexes = map[K]int{}
	}
	l.indexes[key] = len(l.entries)
	l.entries = append(l.entries, orderedMapEntry[V]{value: value})
}

// get returns the value of a key; false if there is none.
func (l *orderedMap[K, V]) get(key K) (V, bool) {
	if index, known := l.indexes[key]; known && !l.entries[index].removed {
		return l.entries[index].value, true
	}
	var none V
	return none, false
}

// remove removes the value of a key.
func (l *orderedMap[K, V]) remove(key K) {
	if index, known := l.indexes[key]; known {
		l.entries[index] = orderedMapEntry[V]{removed: true}
	}
}

// values returns the values that were put and not removed.
func (l *orderedMap[K, V]) values() []V {
	values := make([]V, 0, len(l.entries))
	for i := range l.entries {
		if !l.entries[i].removed {
			values = append(values, l.entries[i].value)
		}
	}
	return values
}
