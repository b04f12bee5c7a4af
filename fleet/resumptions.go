package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/origins"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// unknownOriginRetryAfter is the Retry-After of a refusal because no node knows at which release a stream
// began: a node that knows may be reachable again by then.
const unknownOriginRetryAfter = 300 * time.Millisecond

// settingOrigin names the origin of a stream in explanations.
const settingOrigin = "origin of the stream"

// The outcomes of a resumption, as logged.
const (
	resumedKnown   = "release known"
	resumedOnly    = "single release"
	resumedUnknown = "release unknown"
	resumedUnnamed = "names no request"
)

// resumptions finds the release at which a stream began that a caller resumes, before the request reaches the
// gate and the router. Without it, a stream that another node relayed would go on at any release.
type resumptions struct {
	core    *Core
	origins *origins.Core
	// held are the requests that wait for a lookup, by the request that began the stream.
	held map[cluster.RequestID][]routing.Request
	// proofs holds the requests that wait for an answer of the store.
	proofs resumptionProofs
}

func newResumptions(core *Core) *resumptions {
	self := core.config.Self
	return &resumptions{
		core: core, origins: origins.New(origins.Peer{ID: self.ID, Address: self.Address}), held: map[cluster.RequestID][]routing.Request{},
		proofs: resumptionProofs{ask: func() { core.emit(ReadReleases{}) }},
	}
}

// admit passes a request on, once the release that it is pinned to is known, or refuses it.
func (s *resumptions) admit(request routing.Request) {
	if !request.Resumable || !request.Continues {
		s.core.gate.admit(request)
		return
	}
	if request.Resumes == "" {
		s.decide(request, origins.Found{})
		return
	}
	s.held[request.Resumes] = append(s.held[request.Resumes], request)
	s.step(origins.LookupRequested{Request: request.Resumes, Mixed: s.core.releases.mayBeMixed(serviceOf(request.Model))})
}

func serviceOf(model cluster.ModelID) string {
	service, _, _ := catalog.Split(model)
	return service
}

// decide pins a request to the release at which its stream began. If other nodes may know of a release that this one
// does not, the store is asked first whether there is one.
func (s *resumptions) decide(request routing.Request, found origins.Found) {
	_, single := s.core.releases.only(serviceOf(request.Model))
	allAnswered := found.Asked > 0 && found.Answered == found.Asked
	if s.core.releases.viewIsStale() {
		// Another release may have come of which only other nodes have read: they answer for that.
		single = single && allAnswered
	}
	if !found.Known && single && !allAnswered {
		s.proofs.add(unprovenResumption{request: request, found: found})
		return
	}
	s.conclude(request, found, single)
}

// releasesAnswered decides the requests for which the store was asked.
func (s *resumptions) releasesAnswered(answer *ReleasesAnswered) {
	for _, waiting := range s.proofs.answered() {
		s.conclude(waiting.request, waiting.found, s.core.releases.provenOnly(serviceOf(waiting.request.Model), answer))
	}
}

// conclude pins a request to the release that was found or, with single, to the only one, and otherwise refuses it.
func (s *resumptions) conclude(request routing.Request, found origins.Found, single bool) {
	only, _ := s.core.releases.only(serviceOf(request.Model))
	outcome := resumedUnknown
	switch {
	case found.Known:
		request.Pinned, request.Release = true, found.Release
		outcome = resumedKnown
	case single:
		request.Pinned, request.Release = true, only
		outcome = resumedOnly
	case request.Resumes == "":
		outcome = resumedUnnamed
	}
	s.core.log(eventlog.StreamResumed{
		Request: request.ID, Resumes: request.Resumes, Release: request.Release, Outcome: outcome,
		Asked: found.Asked, Answered: found.Answered, Took: found.Took, Observed: s.core.releases.observedFor(),
	})
	if request.Pinned {
		s.core.gate.admit(request)
		return
	}
	failure := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "workers of several releases may serve, and it is not known at which of them the stream began")
	s.core.emit(RoutingOutput{Effect: routing.Finish{
		Request: request.ID, Failure: failure.After(unknownOriginRetryAfter), Reason: routing.Explanation{Code: failure.Code, Setting: settingOrigin},
	}})
}

// callerGone ends a request that waits for a lookup or for the store. It returns false if there is none.
func (s *resumptions) callerGone(id cluster.RequestID) bool {
	if s.proofs.remove(id) {
		s.refuseGone(id)
		return true
	}
	for first, waiting := range s.held {
		at := slices.IndexFunc(waiting, func(r routing.Request) bool { return r.ID == id })
		if at < 0 {
			continue
		}
		s.held[first] = slices.Delete(waiting, at, at+1)
		s.refuseGone(id)
		return true
	}
	return false
}

func (s *resumptions) refuseGone(id cluster.RequestID) {
	s.core.gate.refuse(id, verdict.New(verdict.NotRun, verdict.CodeCallerGone, "the caller left"))
}

// heldCount counts the requests that wait for a lookup or for the store.
func (s *resumptions) heldCount() int {
	count := s.proofs.count()
	for _, waiting := range s.held {
		count += len(waiting)
	}
	return count
}

// began records the release at which a stream began that this node relays.
func (s *resumptions) began(began routing.StreamBegan) {
	s.step(origins.Began{Request: began.Request, Service: serviceOf(began.Model), Release: began.Release, Deadline: began.Deadline})
}

// releasesChanged handles a change of the releases of a service.
func (s *resumptions) releasesChanged(service string, mixed bool) {
	s.step(origins.ServiceChanged{Service: service, Mixed: mixed})
}

// peersChanged passes the live nodes to the origins core.
func (s *resumptions) peersChanged() {
	peers := make([]origins.Peer, 0, len(s.core.nodes.live))
	for _, id := range slices.Sorted(maps.Keys(s.core.nodes.live)) {
		peers = append(peers, origins.Peer{ID: id, Address: s.core.nodes.live[id].Address})
	}
	s.step(origins.PeersChanged{Peers: peers})
}

// step hands an event to the origins core and carries out its effects.
func (s *resumptions) step(event origins.Event) {
	for _, effect := range slices.Clone(s.origins.Step(s.core.now, event)) {
		switch e := effect.(type) {
		case origins.Send:
			s.core.send(e.Address, e.Message)
		case origins.Found:
			waiting := s.held[e.Request]
			delete(s.held, e.Request)
			for _, request := range waiting {
				s.decide(request, e)
			}
		}
	}
}

// tick advances the time of the origins core.
func (s *resumptions) tick() {
	if due := s.due(); !due.IsZero() && !s.core.now.Before(due) {
		s.step(origins.Tick{})
	}
}

// due returns the time of the next required tick, zero for none.
func (s *resumptions) due() time.Time { return s.origins.NextDue() }
