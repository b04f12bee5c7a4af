package queue

import (
	"testing"

	"pgregory.net/rapid"
)

func newItem(name string, priority int, team string, deadline int64) *Item[string] {
	return &Item[string]{Value: name, Priority: priority, Team: team, Deadline: deadline, Bytes: 1, Cost: 1}
}

// drain pops all items and returns their values in order.
func drain(q *Queue[string]) string {
	order := ""
	for head := q.Head(); head != nil; head = q.Head() {
		if popped := q.Pop(); popped != head {
			panic("Pop differs from Head")
		}
		order += head.Value
	}
	return order
}

// TestPopOrder checks the order by priority, then alternating between teams, then by deadline, then
// by arrival, and that the counts of an emptied queue are zero.
func TestPopOrder(t *testing.T) {
	for _, test := range []struct {
		name  string
		items []*Item[string]
		want  string
	}{
		{"arrival", []*Item[string]{newItem("a", 0, "x", 5), newItem("b", 0, "x", 5)}, "ab"},
		{"deadline", []*Item[string]{newItem("a", 0, "x", 9), newItem("b", 0, "x", 5)}, "ba"},
		{"priority first", []*Item[string]{newItem("a", 0, "x", 1), newItem("b", 2, "x", 9), newItem("c", 1, "x", 9)}, "bca"},
		{"teams alternate", []*Item[string]{newItem("a", 0, "x", 1), newItem("b", 0, "x", 2), newItem("c", 0, "x", 3),
			newItem("d", 0, "y", 8), newItem("e", 0, "y", 9)}, "adbec"},
	} {
		var q Queue[string]
		for _, item := range test.items {
			q.Push(item)
		}
		if got := drain(&q); got != test.want || q.Len() != 0 || q.Bytes() != 0 {
			t.Errorf("%s: got %s, want %s; %d left", test.name, got, test.want, q.Len())
		}
	}
}

// TestReturnedItemKeepsPosition checks that an item that is returned after a failed dispatch is not
// queued behind later items of its team.
func TestReturnedItemKeepsPosition(t *testing.T) {
	var q Queue[string]
	for _, name := range []string{"a", "b", "c"} {
		q.Push(newItem(name, 0, "x", 5))
	}
	q.Return(q.Pop())
	if got := drain(&q); got != "abc" {
		t.Fatalf("got %s", got)
	}
}

// TestServiceIsInverseToCost checks that a team whose items cost three times as much gets a third
// as many served.
func TestServiceIsInverseToCost(t *testing.T) {
	var q Queue[string]
	for range 8 {
		heavy := newItem("h", 0, "x", 5)
		heavy.Cost = 3
		q.Push(heavy)
		q.Push(newItem("l", 0, "y", 5))
	}
	heavy := 0
	for range 8 {
		if q.Pop().Value == "h" {
			heavy++
		}
	}
	if heavy != 2 {
		t.Fatalf("%d of 8 served items have the triple cost, want 2", heavy)
	}
}

// TestHeldItemKeepsPosition checks that the items behind a held one are served, and that it is served
// at its place once it is released.
func TestHeldItemKeepsPosition(t *testing.T) {
	var q Queue[string]
	items := map[string]*Item[string]{}
	for _, name := range []string{"a", "b", "c"} {
		items[name] = newItem(name, 0, "x", 5)
		q.Push(items[name])
	}
	q.Hold(items["a"])
	if head := q.Head(); head != items["b"] || q.Len() != 3 {
		t.Fatalf("head %v of %d items", head, q.Len())
	}
	q.Release(items["a"])
	if got := drain(&q); got != "abc" {
		t.Fatalf("got %s", got)
	}
}

// TestQueueMatchesPlainList compares the order, the counts and the sums of bytes with a plain list
// under random pushes, pops, removals and held items.
func TestQueueMatchesPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[string]
		var queued []*Item[string]
		unlist := func(item *Item[string]) {
			for i := range queued {
				if queued[i] == item {
					queued = append(queued[:i], queued[i+1:]...)
					return
				}
			}
			t.Fatalf("%q was not queued", item.Value)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				item := newItem("i", rapid.IntRange(0, 12).Draw(t, "priority"), rapid.StringMatching("[a-d]").Draw(t, "team"),
					rapid.Int64Range(0, 9).Draw(t, "deadline"))
				q.Push(item)
				queued = append(queued, item)
			},
			"pop": func(t *rapid.T) {
				item := q.Pop()
				if item == nil {
					t.Skip()
				}
				for _, other := range queued {
					if other.Held() {
						continue
					}
					if other.Priority > item.Priority || (other.Priority == item.Priority && other.Team == item.Team && other.Deadline < item.Deadline) {
						t.Fatalf("popped %+v before %+v", item, other)
					}
				}
				unlist(item)
			},
			"remove": func(t *rapid.T) {
				if len(queued) == 0 {
					t.Skip()
				}
				item := rapid.SampledFrom(queued).Draw(t, "item")
				q.Remove(item)
				q.Remove(item)
				unlist(item)
			},
			"hold or release": func(t *rapid.T) {
				if len(queued) == 0 {
					t.Skip()
				}
				item := rapid.SampledFrom(queued).Draw(t, "item")
				change, held := q.Hold, true
				if item.Held() {
					change, held = q.Release, false
				}
				change(item)
				change(item)
				if item.Held() != held || !item.Queued() {
					t.Fatalf("held %v, want %v; queued %v", item.Held(), held, item.Queued())
				}
			},
			"": func(t *rapid.T) {
				visited := 0
				q.Each(func(*Item[string]) bool { visited++; return true })
				if q.Len() != len(queued) || visited != q.Len() || q.Bytes() != int64(len(queued)) {
					t.Fatalf("%d items, %d visited, %d bytes, want %d", q.Len(), visited, q.Bytes(), len(queued))
				}
				ahead, ready := 0, 0
				for _, item := range queued {
					if !item.Held() {
						ready++
					}
					if item.Priority >= 5 && !item.Held() {
						ahead++
					}
				}
				if q.Ahead(5) != ahead || q.Ready() != ready {
					t.Fatalf("%d ahead, want %d; %d ready, want %d", q.Ahead(5), ahead, q.Ready(), ready)
				}
				if (q.Head() == nil) != (ready == 0) {
					t.Fatalf("head %v with %d ready items", q.Head(), ready)
				}
			},
		})
	})
}

// TestFloodDoesNotStarveOtherTeams checks that the first item of a team is served after at most one
// item of another team, however many that team has queued.
func TestFloodDoesNotStarveOtherTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[string]
		for range rapid.IntRange(10, 200).Draw(t, "flood") {
			q.Push(newItem("flood", 0, "x", 1))
		}
		for range rapid.IntRange(0, 9).Draw(t, "served") {
			q.Pop()
		}
		q.Push(newItem("small", 0, "y", 9))
		first, second := q.Pop(), q.Pop()
		if first.Value != "small" && second.Value != "small" {
			t.Fatal("a team's first item waited behind a flood of another team")
		}
	})
}

// TestEstimateAheadMatchesPopOrder checks EstimateAhead against the order of Pop. With equal costs
// and one team the estimate is exact; with more teams it is too high by at most one for each other
// team.
func TestEstimateAheadMatchesPopOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[string]
		teams := rapid.IntRange(1, 3).Draw(t, "teams")
		draw := func(name string) *Item[string] {
			team := string(rune('a' + rapid.IntRange(0, teams-1).Draw(t, "team")))
			return newItem(name, rapid.IntRange(0, 2).Draw(t, "priority"), team, rapid.Int64Range(0, 9).Draw(t, "deadline"))
		}
		for range rapid.IntRange(0, 30).Draw(t, "waiting") {
			q.Push(draw("i"))
		}
		added := draw("new")
		estimated := q.EstimateAhead(added)
		q.Push(added)
		served := 0
		for q.Pop() != added {
			served++
		}
		if served > estimated || served < estimated-(teams-1) {
			t.Fatalf("%d items were served before, estimated %d with %d teams", served, estimated, teams)
		}
	})
}
