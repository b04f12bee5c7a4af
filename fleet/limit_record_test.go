package fleet

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// limitWritten returns the record of limits that is written among effects.
func limitWritten(t *testing.T, effects []Effect) (LimitRecord, bool) {
	t.Helper()
	for _, effect := range effects {
		if write, is := effect.(StoreWrite); is && write.Key == KeyLimits {
			record, err := DecodeLimits(write.Value)
			if err != nil {
				t.Fatal(err)
			}
			return record, true
		}
	}
	return LimitRecord{}, false
}

// limitStore plays the store for a core that holds the order lease.
type limitStore struct {
	t        *testing.T
	core     *Core
	now      time.Time
	revision keyvalue.Revision
	record   LimitRecord
	writes   int
	// refuses is set while the store takes no writes.
	refuses bool
}

func newLimitStore(t *testing.T) *limitStore {
	s := &limitStore{t: t, now: time.Unix(1000, 0), revision: 10}
	s.core = newRecordingCore(t, s.now, "v1")
	s.core.Step(s.now, Tick{})
	return s
}

// advance moves the clock forward in steps of 10 ms.
func (s *limitStore) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(10 * time.Millisecond)
		record, written := limitWritten(s.t, s.core.Step(s.now, Tick{}))
		switch {
		case !written:
		case s.refuses:
			s.writes++
			s.core.Step(s.now, StoreWritten{Key: KeyLimits, Err: verdict.New(verdict.NotRun, verdict.CodeUnavailable, "refused")})
		default:
			s.writes++
			s.revision++
			s.record = record
			s.core.Step(s.now, LimitsRead{Record: record, Revision: s.revision})
		}
	}
}

// tell tells the core a limit of the machine of v1 that another node has heard, zero for none.
func (s *limitStore) tell(perSecond float64) {
	s.core.Step(s.now, MessageReceived{Message: wire.MachineLimit{From: "other", Machine: "of-v1", Limited: perSecond > 0, PerSecond: perSecond}})
}

// stored returns the stored limit of the machine of v1, zero for none.
func (s *limitStore) stored() float64 { return s.record.Machines["of-v1"].PerSecond }

// Guards against limits that are missing in the record, stay there after they have ended, or whose machine is gone.
func TestLimitRecordFollowsLimits(t *testing.T) {
	s := newLimitStore(t)
	s.advance(5 * time.Second)
	if s.writes > 0 {
		t.Errorf("%d writes without a limit", s.writes)
	}
	s.tell(2)
	s.advance(200 * time.Millisecond)
	if s.stored() != 2 {
		t.Errorf("the record has %v 200 ms after a limit of 2", s.record)
	}
	s.tell(0)
	s.advance(3 * time.Second)
	if s.stored() != 0 {
		t.Errorf("the record has %v after the limit has ended", s.record)
	}
	s.tell(3)
	s.advance(3 * time.Second)
	s.core.Step(s.now, WorkersRead{Gone: []cluster.MachineID{"of-v1"}})
	s.advance(3 * time.Second)
	if s.stored() != 0 {
		t.Errorf("the record has %v after the machine has gone", s.record)
	}
}

// Guards against a write for each answer of a machine that states another limit in each.
func TestChangingLimitsAreWrittenSeldom(t *testing.T) {
	s := newLimitStore(t)
	for i := range 600 {
		s.tell(10 + float64(i%5))
		s.advance(100 * time.Millisecond)
	}
	if s.writes != 1 {
		t.Errorf("%d writes for changes by less than half, want 1", s.writes)
	}
	s.writes = 0
	for i := range 600 {
		s.tell(1 + float64(i%2)*9)
		s.advance(100 * time.Millisecond)
	}
	if s.writes > 31 {
		t.Errorf("%d writes in 60 s, want at most one in 2 s", s.writes)
	}
}

// Guards against a record that is never written since the store refused one write.
func TestRefusedLimitRecordIsWrittenLater(t *testing.T) {
	s := newLimitStore(t)
	s.refuses = true
	s.tell(2)
	s.advance(10 * time.Second)
	if s.writes == 0 || s.writes > 5 {
		t.Errorf("%d writes in 10 s to a store that refuses them", s.writes)
	}
	s.refuses = false
	s.advance(3 * time.Second)
	if s.stored() != 2 {
		t.Errorf("the record has %v", s.record)
	}
}

// Guards against a limit that is in force again because the record still lists it after its end was heard.
func TestStoredLimitDoesNotReplaceWhatWasHeard(t *testing.T) {
	s := newLimitStore(t)
	s.tell(2)
	s.tell(0)
	s.core.Step(s.now, LimitsRead{Record: LimitRecord{Machines: map[cluster.MachineID]StoredLimit{"of-v1": {PerSecond: 2}}}, Revision: 9})
	if _, limited := s.core.router.Limit("of-v1"); limited {
		t.Error("a limit that has ended is in force")
	}
}

// Guards against requests that wait at a node that starts, and are sent as soon as it knows a machine and before it
// applies the machine's limit.
func TestStoredLimitCountsBeforeFirstRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newReleaseCore(t)
	core.Step(now, LimitsRead{Record: LimitRecord{Machines: map[cluster.MachineID]StoredLimit{"a": {PerSecond: 1}}}, Revision: 5})
	core.Step(now, ReleasesRead{Record: recordOf("v1"), Revision: 4})
	for _, id := range []cluster.RequestID{"r1", "r2", "r3"} {
		core.Step(now, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{ID: id, Model: "s", TokenPath: "/", Deadline: now.Add(9 * time.Second), Attempts: 1}}})
	}
	sent := 0
	for _, event := range []Event{WorkersRead{Workers: []catalog.Worker{releaseWorker("a", "v1")}, Full: true}, StoreSynced{}} {
		for _, effect := range core.Step(now, event) {
			if output, is := effect.(RoutingOutput); is {
				if _, dispatched := output.Effect.(routing.Dispatch); dispatched {
					sent++
				}
			}
		}
	}
	if _, limited := core.router.Limit("a"); !limited || sent > 0 {
		t.Errorf("limited=%v, %d requests sent without a turn", limited, sent)
	}
}
