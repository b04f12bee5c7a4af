package hollow

import (
	"container/heap"
	"time"
)

// scheduled is something that happens at a time. Number keeps the order of
// scheduling among equal times.
type scheduled struct {
	at     time.Time
	number uint64
	run    func()
}

// agenda is a heap of what is scheduled.
type agenda []scheduled

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].number < a[j].number
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(scheduled)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	(*a)[len(*a)-1] = scheduled{}
	*a = (*a)[:len(*a)-1]
	return last
}

// clock is virtual time with its agenda.
type clock struct {
	now    time.Time
	number uint64
	agenda agenda
}

// after schedules run.
func (c *clock) after(delay time.Duration, run func()) {
	c.number++
	heap.Push(&c.agenda, scheduled{at: c.now.Add(delay), number: c.number, run: run})
}

// runUntil lets time pass up to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.agenda) > 0 && !c.agenda[0].at.After(end) {
		next := heap.Pop(&c.agenda).(scheduled)
		c.now = next.at
		next.run()
	}
	c.now = end
}
