package origins

import "time"

const (
	// ownerCount is the number of nodes that an origin is replicated to, besides the one that relays
	// the stream.
	ownerCount = 3
	// askedFirst is the number of nodes that are asked first. It exceeds ownerCount, since nodes that
	// start or end shift the ranking.
	askedFirst = 5
	// askedNext bounds the nodes that are asked if none of the first knows the origin: all nodes of a
	// small system.
	askedNext = 16
	// answerTimeout is how long nodes that are asked have time to answer: about twenty times the round
	// trip between two zones, because a caller waits.
	answerTimeout = 60 * time.Millisecond
	// maxSends is how often an origin is sent to an owner that does not acknowledge it, and
	// firstResend the time between the first two; each further one is three times as long. An owner that
	// acknowledges none of them is replaced by the next in the ranking.
	maxSends    = 3
	firstResend = 100 * time.Millisecond
	// resumeSlack is how long after the deadline of a request its origin is kept, because the clocks of
	// callers and nodes do not run alike.
	resumeSlack = 2 * time.Second
	// maxOrigins bounds the origins that are kept, at about 150 bytes each. The oldest are dropped first.
	maxOrigins = 1 << 14
	// maxPending bounds the messages that wait for an acknowledgement.
	maxPending = 1 << 12
	// maxStreams bounds the origins in one message.
	maxStreams = 256
	// maxUnarchived bounds the origins that wait to be stored.
	maxUnarchived = 1 << 10
	// storedLifetime is how long an origin that was read from the store is kept: longer than streams last, since
	// how old it is is not known.
	storedLifetime = time.Minute
	// sweepInterval is the time between two scans for expired origins, so that not each step scans them.
	sweepInterval = time.Second
)
