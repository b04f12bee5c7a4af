package queue

import (
	"slices"

	"github.com/valveslip/valveslip/internal/binaryheap"
)

// Item is one waiting request. Its owner embeds it, fills the exported fields before Push and
// doesn't change them while the item is queued.
type Item[T any] struct {
	// Value is the owner of the item.
	Value T
	// Priority comes before all other criteria; a larger one is served first.
	Priority int
	// Team is the team that fairness counts the item for.
	Team string
	// Deadline is in nanoseconds since the Unix epoch.
	Deadline int64
	// Bytes is the item's size, which counts against the byte limit of the queue.
	Bytes int64
	// Cost is the virtual time that serving the item takes, at least 1.
	Cost float64

	sequence uint64
	index    int
	team     *team[T]
	held     bool
}

// Queued reports whether the item is in a queue, held or not.
func (i *Item[T]) Queued() bool { return i.team != nil || i.held }

// Held reports whether the item is in a queue but can't be its head.
func (i *Item[T]) Held() bool { return i.held }

// Queue holds the waiting items of one model. The zero value is an empty queue.
type Queue[T any] struct {
	// levels are sorted by descending priority. Empty ones are kept for reuse.
	levels []*level[T]
	// held are the items that Hold took out of their levels, in the order of the calls.
	held     []*Item[T]
	length   int
	bytes    int64
	sequence uint64
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.length }

// Ready returns the number of items that are not held.
func (q *Queue[T]) Ready() int { return q.length - len(q.held) }

// Bytes returns the sum of the items' bytes.
func (q *Queue[T]) Bytes() int64 { return q.bytes }

// Push adds an item.
func (q *Queue[T]) Push(item *Item[T]) {
	q.sequence++
	item.sequence = q.sequence
	q.insert(item)
}

// Return adds an item that was popped before. The item keeps its place among the items of its team
// with the same deadline, and its team is not charged a second time.
func (q *Queue[T]) Return(item *Item[T]) {
	item.Cost = 0
	q.insert(item)
}

func (q *Queue[T]) insert(item *Item[T]) {
	q.length++
	q.bytes += item.Bytes
	q.level(item.Priority).push(item)
}

// Hold keeps a queued item in the queue but out of the order, so that the items behind it are
// served. It does nothing if the item is not queued or held already.
func (q *Queue[T]) Hold(item *Item[T]) {
	if item.team == nil {
		return
	}
	item.team.level.remove(item)
	item.team, item.held = nil, true
	q.held = append(q.held, item)
}

// Release puts a held item back at its place in the order. It does nothing if the item is not held.
func (q *Queue[T]) Release(item *Item[T]) {
	if !item.held {
		return
	}
	q.unhold(item)
	q.level(item.Priority).push(item)
}

func (q *Queue[T]) unhold(item *Item[T]) {
	item.held = false
	at := slices.Index(q.held, item)
	q.held = slices.Delete(q.held, at, at+1)
}

// Head returns the item that Pop would return, or nil if all items are held or there is none.
func (q *Queue[T]) Head() *Item[T] {
	for _, level := range q.levels {
		if level.active.Len() > 0 {
			return level.active.First().items.First()
		}
	}
	return nil
}

// Pop removes and returns the next item, or nil if all items are held or there is none.
func (q *Queue[T]) Pop() *Item[T] {
	for _, level := range q.levels {
		if level.active.Len() > 0 {
			item := level.pop()
			q.detach(item)
			return item
		}
	}
	return nil
}

// Remove removes an item without charging its team. It does nothing if the item is not queued.
func (q *Queue[T]) Remove(item *Item[T]) {
	switch {
	case item.held:
		q.unhold(item)
	case item.team != nil:
		item.team.level.remove(item)
	default:
		return
	}
	q.detach(item)
}

// detach updates the item and the totals after the item left its level.
func (q *Queue[T]) detach(item *Item[T]) {
	item.team = nil
	q.length--
	q.bytes -= item.Bytes
}

// Ahead returns the number of items with at least the given priority that are not held.
func (q *Queue[T]) Ahead(priority int) int {
	count := 0
	for _, level := range q.levels {
		if level.priority < priority {
			break
		}
		count += level.length
	}
	return count
}

// EstimateAhead estimates the number of items that are served before a new one: all items of higher
// priority, those of its own team with no later deadline, and of each other team as many as are
// served in turn with these. Held items don't count.
func (q *Queue[T]) EstimateAhead(item *Item[T]) int {
	count := 0
	for _, level := range q.levels {
		if level.priority < item.Priority {
			break
		}
		if level.priority > item.Priority {
			count += level.length
			continue
		}
		own := 0
		if team := level.teams[item.Team]; team != nil {
			own = team.countDueBy(item.Deadline)
		}
		count += own
		for _, other := range level.active.All() {
			if other.name != item.Team {
				count += min(other.items.Len(), own+1)
			}
		}
	}
	return count
}

// Each calls visit for every item until visit returns false. The order is unspecified but
// deterministic. The queue must not be changed during the call.
func (q *Queue[T]) Each(visit func(*Item[T]) bool) {
	for _, level := range q.levels {
		for _, team := range level.active.All() {
			for _, item := range team.items.All() {
				if !visit(item) {
					return
				}
			}
		}
	}
	for _, item := range q.held {
		if !visit(item) {
			return
		}
	}
}

// EarliestDeadline returns the earliest deadline of all items, or false if the queue is empty.
func (q *Queue[T]) EarliestDeadline() (int64, bool) {
	var earliest int64
	found := false
	for _, level := range q.levels {
		for _, team := range level.active.All() {
			if deadline := team.items.First().Deadline; !found || deadline < earliest {
				earliest, found = deadline, true
			}
		}
	}
	for _, item := range q.held {
		if !found || item.Deadline < earliest {
			earliest, found = item.Deadline, true
		}
	}
	return earliest, found
}

// level returns the level of a priority and creates it if necessary.
func (q *Queue[T]) level(priority int) *level[T] {
	at := 0
	for at < len(q.levels) && q.levels[at].priority > priority {
		at++
	}
	if at < len(q.levels) && q.levels[at].priority == priority {
		return q.levels[at]
	}
	q.dropEmptyLevels()
	at = min(at, len(q.levels))
	for at > 0 && q.levels[at-1].priority < priority {
		at--
	}
	created := &level[T]{priority: priority, teams: make(map[string]*team[T])}
	q.levels = append(q.levels, nil)
	copy(q.levels[at+1:], q.levels[at:])
	q.levels[at] = created
	return created
}

// maxIdleLevels bounds the empty levels that are kept for reuse.
const maxIdleLevels = 8

// dropEmptyLevels removes the empty levels if there are maxIdleLevels levels or more.
func (q *Queue[T]) dropEmptyLevels() {
	if len(q.levels) < maxIdleLevels {
		return
	}
	kept := q.levels[:0]
	for _, level := range q.levels {
		if level.length > 0 {
			kept = append(kept, level)
		}
	}
	clear(q.levels[len(kept):])
	q.levels = kept
}

// level holds the items of one priority.
type level[T any] struct {
	priority int
	teams    map[string]*team[T]
	// active holds the teams with items, ordered by start tag.
	active      binaryheap.Heap[*team[T]]
	virtualTime float64
	length      int
	activations uint64
}

// team holds the items of one team at one level.
type team[T any] struct {
	level *level[T]
	name  string
	items binaryheap.Heap[*Item[T]]
	// startTag is the start tag of the next item, and finishTag the finish tag of the last one
	// that was served.
	startTag, finishTag float64
	// activation is the order in which teams became active; it breaks ties between start tags.
	activation uint64
	index      int
}

func (l *level[T]) push(item *Item[T]) {
	l.length++
	itemTeam := l.teams[item.Team]
	if itemTeam == nil {
		l.dropIdleTeams()
		itemTeam = &team[T]{level: l, name: item.Team}
		l.teams[item.Team] = itemTeam
	}
	item.team = itemTeam
	itemTeam.items.Push(item)
	if itemTeam.items.Len() == 1 {
		l.activations++
		itemTeam.activation = l.activations
		itemTeam.startTag = max(l.virtualTime, itemTeam.finishTag)
		l.active.Push(itemTeam)
	}
}

func (l *level[T]) pop() *Item[T] {
	itemTeam := l.active.First()
	item := itemTeam.items.Pop()
	l.virtualTime = itemTeam.startTag
	itemTeam.finishTag = itemTeam.startTag + item.Cost
	itemTeam.startTag = itemTeam.finishTag
	l.afterRemoval(itemTeam)
	return item
}

func (l *level[T]) remove(item *Item[T]) {
	itemTeam := item.team
	itemTeam.items.Remove(item.index)
	l.afterRemoval(itemTeam)
}

// afterRemoval restores the order of the active teams after one of them lost an item.
func (l *level[T]) afterRemoval(itemTeam *team[T]) {
	l.length--
	if itemTeam.items.Len() > 0 {
		l.active.Fix(itemTeam.index)
		return
	}
	l.active.Remove(itemTeam.index)
	if l.length == 0 {
		l.reset()
	}
}

// maxIdleTeams bounds the teams without items that are kept for reuse.
const maxIdleTeams = 16

// reset ends a busy period: no item waits, so no team is ahead of or behind another.
func (l *level[T]) reset() {
	l.virtualTime = 0
	if len(l.teams) > maxIdleTeams {
		clear(l.teams)
		return
	}
	for _, team := range l.teams {
		team.finishTag, team.startTag = 0, 0
	}
}

// dropIdleTeams removes teams without items whose finish tag the virtual time has passed, once they
// outnumber the active teams.
func (l *level[T]) dropIdleTeams() {
	if len(l.teams) < maxIdleTeams || len(l.teams) < 2*l.active.Len() {
		return
	}
	for name, team := range l.teams {
		if team.items.Len() == 0 && team.finishTag <= l.virtualTime {
			delete(l.teams, name)
		}
	}
}

// countDueBy returns the number of the team's items whose deadline is no later than the given one.
func (t *team[T]) countDueBy(deadline int64) int {
	count := 0
	for _, item := range t.items.All() {
		if item.Deadline <= deadline {
			count++
		}
	}
	return count
}

// Before implements binaryheap.Element. It orders items by deadline, then by arrival.
func (i *Item[T]) Before(other *Item[T]) bool {
	if i.Deadline != other.Deadline {
		return i.Deadline < other.Deadline
	}
	return i.sequence < other.sequence
}

// Moved implements binaryheap.Element.
func (i *Item[T]) Moved(index int) { i.index = index }

// Before implements binaryheap.Element. It orders teams by start tag, then by activation.
func (t *team[T]) Before(other *team[T]) bool {
	if t.startTag != other.startTag {
		return t.startTag < other.startTag
	}
	return t.activation < other.activation
}

// Moved implements binaryheap.Element.
func (t *team[T]) Moved(index int) { t.index = index }
