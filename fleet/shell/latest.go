package shell

// latest holds the last value of each key, in the order in which the keys first came. Its zero
// value is empty. A put and a drop take the same time however many keys there are.
type latest[K comparable, V any] struct {
	places  map[K]int
	entries []latestEntry[V]
}

type latestEntry[V any] struct {
	value V
	// dropped entries keep their places, so that those behind them keep theirs.
	dropped bool
}

// put enters the last value of a key.
func (l *latest[K, V]) put(key K, value V) {
	if place, known := l.places[key]; known {
		l.entries[place] = latestEntry[V]{value: value}
		return
	}
	if l.places == nil {
		l.places = map[K]int{}
	}
	l.places[key] = len(l.entries)
	l.entries = append(l.entries, latestEntry[V]{value: value})
}

// get returns the value of a key, false without one.
func (l *latest[K, V]) get(key K) (V, bool) {
	if place, known := l.places[key]; known && !l.entries[place].dropped {
		return l.entries[place].value, true
	}
	var none V
	return none, false
}

// drop takes the value of a key out.
func (l *latest[K, V]) drop(key K) {
	if place, known := l.places[key]; known {
		l.entries[place] = latestEntry[V]{dropped: true}
	}
}

// values lists what was put and not dropped.
func (l *latest[K, V]) values() []V {
	values := make([]V, 0, len(l.entries))
	for i := range l.entries {
		if !l.entries[i].dropped {
			values = append(values, l.entries[i].value)
		}
	}
	return values
}
