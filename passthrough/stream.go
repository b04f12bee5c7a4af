package passthrough

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

const (
	readBufferBytes = 8 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// uncountedEventBytes is the size up to which an incomplete event is not reserved: it fits the
	// buffers that each connection has anyway.
	uncountedEventBytes = readBufferBytes
)

var readBuffers = sync.Pool{New: func() any { buffer := make([]byte, readBufferBytes); return &buffer }}

// Delimiters and fields of the event stream format.
var (
	eventEnd     = []byte("\n\n")
	eventEndCRLF = []byte("\r\n\r\n")
	idField      = []byte("id:")
)

// relayStream relays the events of a stream, each as soon as it is complete. A machine that completes no event
// and writes less than minBodyProgress bytes within the timeout counts as silent. An incomplete event
// at the end of a broken stream is dropped; a resumable stream continues after the last complete
// event.
func (a *attempt) relayStream(response *http.Response) *verdict.Error {
	buffer := readBuffers.Get().(*[]byte)
	defer readBuffers.Put(buffer)
	var pending []byte
	// searched is the length of the part of pending that holds no end of an event.
	searched := 0
	resumed := a.headSent
	a.watchdog.restart(a.nextByteTimeout())
	// unfinished counts the bytes of the incomplete event since the watchdog was restarted.
	unfinished := 0
	for {
		n, err := response.Body.Read(*buffer)
		pending = append(pending, (*buffer)[:n]...)
		unfinished += n
		if eventLength(pending[searched:]) > 0 {
			a.watchdog.pause()
			rest, failure := a.relayEvents(response, pending, resumed)
			if failure != nil {
				return failure
			}
			pending = append(pending[:0], rest...)
			unfinished = minBodyProgress
		}
		if unfinished >= minBodyProgress {
			a.watchdog.restart(a.nextByteTimeout())
			unfinished = 0
		}
		searched = max(len(pending)-len(eventEndCRLF)+1, 0)
		if !a.reserveEvent(len(pending)) {
			return verdict.New(verdict.Ran, verdict.CodeUnavailable, "the node keeps too many bytes to wait for the end of an event")
		}
		switch {
		case err == io.EOF && len(bytes.TrimSpace(pending)) == 0:
			a.sendHead(response)
			return nil
		case err != nil:
			a.recordConnectionBreak(err)
			return verdict.Wrap(err, verdict.Ran, verdict.CodeStreamCut, "the stream was cut")
		case len(pending) > maxEventBytes:
			return verdict.New(verdict.Ran, verdict.CodeEngineFailed, "an event is larger than %d bytes", maxEventBytes)
		}
	}
}

// reserveEvent adjusts the reservation for a long incomplete event. It returns false if the node
// holds too many bytes.
func (a *attempt) reserveEvent(length int) bool {
	wanted := max(int64(length-uncountedEventBytes), 0)
	switch {
	case wanted > a.countedEventBytes:
		if !a.reserved.Grow(wanted - a.countedEventBytes) {
			return false
		}
	case wanted < a.countedEventBytes:
		a.reserved.Shrink(a.countedEventBytes - wanted)
	}
	a.countedEventBytes = wanted
	return true
}

// sendHead sends the head of the answer, unless an earlier attempt has sent it.
func (a *attempt) sendHead(response *http.Response) {
	if a.headSent {
		return
	}
	a.Decider.Report(routing.FirstByteSent{Request: a.id})
	a.writeHead(response.StatusCode, response.Header, -1)
}

// relayEvents sends the complete events at the start of data and returns the rest. In a resumed
// stream, it drops events that the caller already has.
func (a *attempt) relayEvents(response *http.Response, data []byte, resumed bool) ([]byte, *verdict.Error) {
	rest := data
	// relayed is a prefix of data until an event is dropped, and a copy from then on.
	relayed, contiguous := data[:0], true
	for {
		end := eventLength(rest)
		if end == 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		id, stated := eventID(event)
		if resumed && stated && !isAfter(id, a.lastEventID) {
			if contiguous {
				relayed, contiguous = slices.Clone(relayed), false
			}
			continue
		}
		if stated {
			a.lastEventID = id
		}
		if contiguous {
			relayed = data[:len(data)-len(rest)]
		} else {
			relayed = append(relayed, event...)
		}
	}
	if len(relayed) == 0 {
		return rest, nil
	}
	a.sendHead(response)
	a.recordPause()
	if _, err := a.writer.Write(relayed); err != nil {
		return rest, a.classifyWriteError(err)
	}
	if err := http.NewResponseController(a.writer).Flush(); err != nil {
		return rest, a.classifyWriteError(err)
	}
	return rest, nil
}

// recordPause updates the longest pause between two sends of events.
func (a *attempt) recordPause() {
	now := a.now()
	if pause := now.Sub(a.eventsSentAt); !a.eventsSentAt.IsZero() && pause > a.longestPause {
		a.longestPause, a.longestPauseEnd = pause, now.Sub(a.arrived)
	}
	a.eventsSentAt = now
}

// eventLength returns the length of the first complete event with its delimiter, zero without one.
func eventLength(data []byte) int {
	end := 0
	if at := bytes.Index(data, eventEnd); at >= 0 {
		end = at + len(eventEnd)
	}
	if at := bytes.Index(data, eventEndCRLF); at >= 0 && (end == 0 || at < end) {
		end = at + len(eventEndCRLF)
	}
	return end
}

// eventID returns the ID of an event and whether it has one.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// isAfter reports whether the event id comes after last. IDs that are not numbers count as later.
func isAfter(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	before, lastErr := strconv.ParseUint(last, 10, 64)
	return err != nil || lastErr != nil || number > before
}
