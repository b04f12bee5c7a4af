package poison

import (
	"cmp"
	"slices"

	"github.com/valveslip/valveslip/cluster"
)

// maxEnds bounds the machines in each list of a Record, which take about 20 bytes each. It is
// several times the number of ends that blocks a request, so that some can be cleared.
const maxEnds = 16

// Record is what is known of one request that machines ran when they ended. Records of one request
// are merged by union, so that delayed, duplicated and reordered messages have no effect. Its lists
// are sorted and never modified in place.
type Record struct {
	Content Fingerprint
	// Ends are the machines that ended while they ran the request.
	Ends []cluster.MachineID
	// Cleared are the machines whose end is not attributed to the request: the request was
	// answered completely later, the machine answered later, or an operator cleared the request.
	Cleared []cluster.MachineID
	// Requests are digests of the different requests that ran, for a part of prompts; empty for a
	// whole request.
	Requests []uint64
}

// AttributedEnds lists the machines whose end is attributed to the request.
func (r *Record) AttributedEnds() []cluster.MachineID {
	var standing []cluster.MachineID
	for _, machine := range r.Ends {
		if !contains(r.Cleared, machine) {
			standing = append(standing, machine)
		}
	}
	return standing
}

// AttributedEndCount returns the number of ends that are attributed to the request.
func (r *Record) AttributedEndCount() int { return len(r.AttributedEnds()) }

// Merged returns the union of two records of one request, and whether it differs from r.
func (r *Record) Merged(other *Record) (Record, bool) {
	joined := Record{Content: r.Content, Ends: union(r.Ends, other.Ends), Cleared: union(r.Cleared, other.Cleared), Requests: union(r.Requests, other.Requests)}
	joined.trim()
	same := slices.Equal(joined.Ends, r.Ends) && slices.Equal(joined.Cleared, r.Cleared) && slices.Equal(joined.Requests, r.Requests)
	return joined, !same
}

// trim bounds the lists. It drops cleared ends first, in the order of their IDs, so that all nodes
// keep the same ones.
func (r *Record) trim() {
	r.Requests = r.Requests[:min(len(r.Requests), maxEnds)]
	if len(r.Ends) <= maxEnds && len(r.Cleared) <= maxEnds {
		return
	}
	dropped := max(len(r.Ends), len(r.Cleared)) - maxEnds
	var clearedEnds []cluster.MachineID
	for _, machine := range r.Ends {
		if len(clearedEnds) < dropped && contains(r.Cleared, machine) {
			clearedEnds = append(clearedEnds, machine)
		}
	}
	isDropped := func(machine cluster.MachineID) bool { return contains(clearedEnds, machine) }
	r.Ends = slices.DeleteFunc(slices.Clone(r.Ends), isDropped)
	r.Cleared = slices.DeleteFunc(slices.Clone(r.Cleared), isDropped)
	r.Ends = r.Ends[:min(len(r.Ends), maxEnds)]
	r.Cleared = r.Cleared[:min(len(r.Cleared), maxEnds)]
}

// contains reports whether a sorted list contains a value.
func contains[T cmp.Ordered](sorted []T, value T) bool {
	_, found := slices.BinarySearch(sorted, value)
	return found
}

// union returns the union of two sorted lists. It returns a itself if a contains b.
func union[T cmp.Ordered](a, b []T) []T {
	missing := 0
	for _, value := range b {
		if !contains(a, value) {
			missing++
		}
	}
	if missing == 0 {
		return a
	}
	joined := make([]T, 0, len(a)+missing)
	joined = append(joined, a...)
	for _, value := range b {
		if !contains(a, value) {
			joined = append(joined, value)
		}
	}
	slices.Sort(joined)
	return joined
}

// sorted returns a sorted copy of a list without duplicates.
func sorted[T cmp.Ordered](list []T) []T {
	list = slices.Clone(list)
	slices.Sort(list)
	return slices.Compact(list)
}

// Valid returns the record in the form that can be merged. A record received from another node may
// be unsorted, too long or contain duplicates.
func (r *Record) Valid() Record {
	valid := Record{Content: r.Content, Ends: sorted(r.Ends), Cleared: sorted(r.Cleared), Requests: sorted(r.Requests)}
	valid.trim()
	return valid
}
