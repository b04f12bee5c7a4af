package keyvalue

import (
	"fmt"
	"strconv"
)

// Era counts how often the store came back from a copy. What was written since that copy was taken is
// gone, and its revisions are given out again.
type Era int64

// Revision names a state of the store by its era and, within the era, the store's count of changes. Zero
// stands for none. Revisions compare by era first, so a state after the store came back is above all
// states before. They say nothing of the contents: an era may begin with older values than the era before
// ended with, and an unchanged pair has another revision in each era.
//
// Both numbers share one integer, so that a revision can't be compared, stored or sent without its era,
// and is the plain count as long as the store has never come back.
type Revision int64

const (
	counterBits = 40
	// MaxCounter is the largest count of changes within an era, MaxEra the largest era.
	MaxCounter = 1<<counterBits - 1
	MaxEra     = 1<<(63-counterBits) - 1
)

// NewRevision returns the revision of an era and a count of changes.
func NewRevision(era Era, counter int64) (Revision, error) {
	if era < 0 || era > MaxEra || counter < 0 || counter > MaxCounter {
		return 0, fmt.Errorf("revision %d of era %d: out of range", counter, era)
	}
	if counter == 0 {
		return 0, nil
	}
	return Revision(int64(era)<<counterBits | counter), nil
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> counterBits) }

// Counter returns the store's count of changes within the era.
func (r Revision) Counter() int64 { return int64(r) & MaxCounter }

// String returns the count, preceded by the era unless that is zero.
func (r Revision) String() string {
	if r.Era() == 0 {
		return strconv.FormatInt(r.Counter(), 10)
	}
	return fmt.Sprintf("%d:%d", r.Era(), r.Counter())
}
