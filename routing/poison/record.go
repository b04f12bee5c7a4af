package poison

import (
	"slices"

	"github.com/valveslip/valveslip/cluster"
)

// maxEnds bounds the machines in each list of a Record, 16 times about 20 bytes: several
// times what a conviction needs, so that some may be taken back.
const maxEnds = 16

// Record is what is known of one request that was at machines when they ended. Records of
// one request are joined by union, so that late, doubled and reordered news do no harm. Its
// lists are sorted and never changed in place.
type Record struct {
	Content Fingerprint
	// Ends are the machines that ended while they had the request.
	Ends []cluster.MachineID
	// Cleared are those for whose end the request is not blamed: it was answered whole
	// later, the machine answered later, or an operator pardoned it.
	Cleared []cluster.MachineID
}

// StandingEnds lists the machines for whose end the request is to blame.
func (r *Record) StandingEnds() []cluster.MachineID {
	var standing []cluster.MachineID
	for _, machine := range r.Ends {
		if !contains(r.Cleared, machine) {
			standing = append(standing, machine)
		}
	}
	return standing
}

// Standing counts the ends for which the request is to blame.
func (r *Record) Standing() int { return len(r.StandingEnds()) }

// Joined returns the union of two records of one request, and whether it says more than r.
func (r *Record) Joined(other *Record) (Record, bool) {
	joined := Record{Content: r.Content, Ends: union(r.Ends, other.Ends), Cleared: union(r.Cleared, other.Cleared)}
	joined.trim()
	return joined, !slices.Equal(joined.Ends, r.Ends) || !slices.Equal(joined.Cleared, r.Cleared)
}

// trim keeps the lists within their bound: ends that were taken back go first, of these the
// least names, so that all nodes keep the same.
func (r *Record) trim() {
	if len(r.Ends) <= maxEnds && len(r.Cleared) <= maxEnds {
		return
	}
	dropped := max(len(r.Ends), len(r.Cleared)) - maxEnds
	var settled []cluster.MachineID
	for _, machine := range r.Ends {
		if len(settled) < dropped && contains(r.Cleared, machine) {
			settled = append(settled, machine)
		}
	}
	isSettled := func(machine cluster.MachineID) bool { return contains(settled, machine) }
	r.Ends = slices.DeleteFunc(slices.Clone(r.Ends), isSettled)
	r.Cleared = slices.DeleteFunc(slices.Clone(r.Cleared), isSettled)
	r.Ends = r.Ends[:min(len(r.Ends), maxEnds)]
	r.Cleared = r.Cleared[:min(len(r.Cleared), maxEnds)]
}

// contains reports whether a sorted list holds a machine.
func contains(sorted []cluster.MachineID, machine cluster.MachineID) bool {
	_, found := slices.BinarySearch(sorted, machine)
	return found
}

// union returns the union of two sorted lists; one that holds the other is returned itself.
func union(a, b []cluster.MachineID) []cluster.MachineID {
	missing := 0
	for _, machine := range b {
		if !contains(a, machine) {
			missing++
		}
	}
	if missing == 0 {
		return a
	}
	joined := make([]cluster.MachineID, 0, len(a)+missing)
	joined = append(joined, a...)
	for _, machine := range b {
		if !contains(a, machine) {
			joined = append(joined, machine)
		}
	}
	slices.Sort(joined)
	return joined
}

// Valid returns the record as it may be joined: records from elsewhere may be unsorted,
// doubled or too long.
func (r *Record) Valid() Record {
	sorted := func(list []cluster.MachineID) []cluster.MachineID {
		list = slices.Clone(list)
		slices.Sort(list)
		return slices.Compact(list)
	}
	valid := Record{Content: r.Content, Ends: sorted(r.Ends), Cleared: sorted(r.Cleared)}
	valid.trim()
	return valid
}
