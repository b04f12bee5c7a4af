package proxy

import "time"

// Mode describes the faults applied to the data of all connections. The zero value applies none.
type Mode struct {
	// Delay is added before each write of forwarded data.
	Delay time.Duration
	// BytesPerSecond limits each direction of each connection; zero sets no limit.
	BytesPerSecond int
	// HoldRequests holds back the data sent to the target, HoldAnswers the data sent by
	// it, until the field is unset.
	HoldRequests, HoldAnswers bool
}

// holds reports whether the data of a direction is held back.
func (m *Mode) holds(d direction) bool {
	return d == toServer && m.HoldRequests || d == toClient && m.HoldAnswers
}

// delayFor returns how long a block of n bytes is delayed.
func (m *Mode) delayFor(n int) time.Duration {
	if m.BytesPerSecond <= 0 {
		return m.Delay
	}
	return m.Delay + time.Duration(n)*time.Second/time.Duration(m.BytesPerSecond)
}
