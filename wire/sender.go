package wire

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	watermillhttp "github.com/ThreeDotsLabs/watermill-http/v2/pkg/http"
	"github.com/ThreeDotsLabs/watermill/message"
)

// sender owns the queue to one peer. Its goroutine ends when the queue is
// closed, or removes itself after idleSender without a message.
type sender struct {
	transport *Transport
	address   string
	queue     chan queued
	// version is the schema version messages are written in: the current one
	// until the peer announces an older.
	version int32
}

// queued is a message that waits to be sent.
type queued struct {
	message Message
	since   time.Time
}

// Send queues message for the peer listening at address, host:port. It never
// blocks: when the queue is full the message that has waited longest is dropped and
// counted, and when the transport is closed the new one is. Newer messages replace most
// older ones; an asker who gets no answer asks again.
func (t *Transport) Send(address string, message Message) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed {
		t.counters.dropped.Add(1)
		return
	}
	peer := t.senders[address]
	if peer == nil {
		peer = &sender{
			transport: t,
			address:   address,
			queue:     make(chan queued, max(t.options.queueLength, 1)),
			version:   VersionCurrent,
		}
		t.senders[address] = peer
		t.running.Go(peer.run)
	}
	peer.push(queued{message: message, since: t.options.now()})
}

// push queues message in place of the oldest one if need be. The caller holds the
// transport's mutex, so nobody else fills the queue.
func (s *sender) push(message queued) {
	for {
		select {
		case s.queue <- message:
			return
		default:
		}
		select {
		case <-s.queue:
			s.transport.counters.dropped.Add(1)
		default:
		}
	}
}

// run sends batches until the queue is closed or stays empty.
func (s *sender) run() {
	idle := time.NewTimer(idleSender)
	defer idle.Stop()
	for {
		select {
		case first, open := <-s.queue:
			if !open {
				return
			}
			s.sendAll(s.collect(first))
			idle.Reset(idleSender)
		case <-idle.C:
			if s.retire() {
				return
			}
			idle.Reset(idleSender)
		}
	}
}

// retire removes the sender if nothing waits. Send holds the same mutex, so no
// message can slip into a removed queue.
func (s *sender) retire() bool {
	s.transport.mutex.Lock()
	defer s.transport.mutex.Unlock()
	if s.transport.closed || len(s.queue) > 0 {
		return false
	}
	delete(s.transport.senders, s.address)
	return true
}

// collect takes what waits already, up to one batch.
func (s *sender) collect(first queued) []queued {
	messages := []queued{first}
	for len(messages) < maxBatchMessages {
		select {
		case next, open := <-s.queue:
			if !open {
				return messages
			}
			messages = append(messages, next)
		default:
			return messages
		}
	}
	return messages
}

// sendAll posts messages. A peer that announces an older version has refused
// them unread, so they are written once more in that version.
func (s *sender) sendAll(messages []queued) {
	version := s.version
	if s.write(messages); s.version < version {
		s.write(messages)
	}
}

// write posts messages in as few requests as the size bound allows. It stops
// when the peer announces an older version than they are written in.
func (s *sender) write(messages []queued) {
	version := s.version
	var envelopes [][]byte
	size := 0
	for _, waiting := range messages {
		data, err := EncodeVersion(aged(waiting.message, s.transport.options.now().Sub(waiting.since)), version)
		if errors.Is(err, ErrVersion) {
			// The peer's build knows no such message, so that nothing is asked of it.
			s.transport.counters.unknown.Add(1)
			continue
		}
		if err != nil {
			s.transport.counters.failed.Add(1)
			s.transport.logger.Error("peer message not encoded", "peer", s.address, "error", err)
			continue
		}
		if size > 0 && size+len(data) > maxBatchBytes {
			if s.post(envelopes); s.version < version {
				return
			}
			envelopes, size = nil, 0
		}
		envelopes = append(envelopes, data)
		size += len(data)
	}
	if len(envelopes) > 0 {
		s.post(envelopes)
	}
}

// post publishes one batch and learns the peer's version.
func (s *sender) post(envelopes [][]byte) {
	counters := &s.transport.counters
	body, err := codec.Marshal(batchSchema, batch{Envelopes: envelopes})
	if err != nil {
		counters.failed.Add(uint64(len(envelopes)))
		s.transport.logger.Error("peer messages not encoded", "peer", s.address, "error", err)
		return
	}
	announced := int32(VersionCurrent)
	msg := message.NewMessage("", body)
	msg.SetContext(context.WithValue(s.transport.lifetime, versionKey{}, &announced))
	err = s.transport.publisher.Publish(s.transport.options.scheme()+"://"+s.address+messagesPath, msg)
	counters.bytesSent.Add(uint64(len(body)))
	if err != nil {
		counters.failed.Add(uint64(len(envelopes)))
		s.logFailure(err)
		return
	}
	refused := announced < s.version
	s.version = min(announced, VersionCurrent)
	if !refused {
		counters.sent.Add(uint64(len(envelopes)))
	}
}

func (s *sender) logFailure(err error) {
	if errors.Is(err, watermillhttp.ErrErrorResponse) {
		s.transport.logger.Warn("peer refused messages", "peer", s.address, "error", err)
		return
	}
	s.transport.logger.Debug("peer not reached", "peer", s.address, "error", err)
}

// versionKey is the context key of the place for the peer's version.
type versionKey struct{}

// versionReader notes the version that a response names.
type versionReader struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (r versionReader) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := r.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if place, ok := request.Context().Value(versionKey{}).(*int32); ok {
		if version, err := strconv.ParseInt(response.Header.Get(versionHeader), 10, 32); err == nil {
			*place = int32(version)
		}
	}
	return response, nil
}

// decodeBatch returns the messages of a request body that can be read, and the
// errors of the others, which include those written after version newest. A kind
// that this node does not know is no error: a newer node sends it as a hint.
func decodeBatch(body []byte, newest int32) ([]Message, error) {
	var received batch
	if err := unmarshal(batchSchema, body, &received); err != nil {
		return nil, err
	}
	messages := make([]Message, 0, len(received.Envelopes))
	var faults []error
	for _, data := range received.Envelopes {
		decoded, err := decode(data, newest)
		switch {
		case errors.Is(err, ErrUnknownKind):
			continue
		case err != nil:
			faults = append(faults, err)
			continue
		}
		messages = append(messages, decoded)
	}
	return messages, errors.Join(faults...)
}
