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

// sender sends the messages to one peer. Its goroutine ends when the queue is closed or after
// senderIdleTimeout without a message.
type sender struct {
	transport *Transport
	address   string
	queue     chan queuedMessage
	// version is the schema version in which messages are written: VersionCurrent until the
	// peer announces an older one.
	version int32
}

// queuedMessage is a message that waits to be sent, with the time at which it was queued.
type queuedMessage struct {
	message  Message
	queuedAt time.Time
}

// Send queues message for the peer listening at address, host:port. It never blocks. If the queue is
// full, the oldest message is dropped and counted, because newer messages supersede most older ones
// and unanswered requests are repeated. If the transport is closed, message is dropped and counted.
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
			queue:     make(chan queuedMessage, max(t.options.queueLength, 1)),
			version:   VersionCurrent,
		}
		t.senders[address] = peer
		t.running.Go(peer.run)
	}
	peer.enqueue(queuedMessage{message: message, queuedAt: t.options.now()})
}

// enqueue queues message and drops the oldest one if the queue is full. The caller holds the
// transport's mutex, so that no other goroutine fills the queue.
func (s *sender) enqueue(message queuedMessage) {
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

// run sends batches until the queue is closed or has been empty for senderIdleTimeout.
func (s *sender) run() {
	idle := time.NewTimer(senderIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case first, open := <-s.queue:
			if !open {
				return
			}
			s.sendAll(s.collectBatch(first))
			idle.Reset(senderIdleTimeout)
		case <-idle.C:
			if s.removeIfIdle() {
				return
			}
			idle.Reset(senderIdleTimeout)
		}
	}
}

// removeIfIdle removes the sender from the transport if its queue is empty, and reports whether it
// did. Send holds the same mutex, so that no message is added to a removed queue.
func (s *sender) removeIfIdle() bool {
	s.transport.mutex.Lock()
	defer s.transport.mutex.Unlock()
	if s.transport.closed || len(s.queue) > 0 {
		return false
	}
	delete(s.transport.senders, s.address)
	return true
}

// collectBatch returns first and the messages queued after it, up to maxBatchMessages.
func (s *sender) collectBatch(first queuedMessage) []queuedMessage {
	messages := []queuedMessage{first}
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

// sendAll sends messages. A peer that announces an older version has refused them without reading
// them, so they are sent once more in that version.
func (s *sender) sendAll(messages []queuedMessage) {
	version := s.version
	if s.write(messages); s.version < version {
		s.write(messages)
	}
}

// write sends messages in as few requests as maxBatchBytes allows. It stops when the peer announces
// an older version than they are written in.
func (s *sender) write(messages []queuedMessage) {
	version := s.version
	var envelopes [][]byte
	size := 0
	for _, waiting := range messages {
		data, err := EncodeVersion(adjustForDelay(waiting.message, s.transport.options.now().Sub(waiting.queuedAt)), version)
		if errors.Is(err, ErrVersion) {
			// The peer's build does not know this kind of message.
			s.transport.counters.unknown.Add(1)
			continue
		}
		if err != nil {
			s.transport.counters.failed.Add(1)
			s.transport.logger.Error("encoding a message to a peer failed", "peer", s.address, "error", err)
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

// post sends one batch and updates the peer's version from the response.
func (s *sender) post(envelopes [][]byte) {
	counters := &s.transport.counters
	body, err := codec.Marshal(batchSchema, batch{Envelopes: envelopes})
	if err != nil {
		counters.failed.Add(uint64(len(envelopes)))
		s.transport.logger.Error("encoding a batch of messages to a peer failed", "peer", s.address, "error", err)
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
	s.transport.logger.Debug("sending messages to a peer failed", "peer", s.address, "error", err)
}

// versionKey is the context key of the pointer to the variable for the peer's version.
type versionKey struct{}

// versionReader stores the version that a response announces in the variable under versionKey.
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

// decodeBatch returns the messages of a request body that can be decoded and the joined errors of
// the others, including messages of a version after newestVersion. Messages of an unknown kind are
// skipped without an error: newer nodes send them as hints.
func decodeBatch(body []byte, newestVersion int32) ([]Message, error) {
	var received batch
	if err := unmarshal(batchSchema, body, &received); err != nil {
		return nil, err
	}
	messages := make([]Message, 0, len(received.Envelopes))
	var decodeErrors []error
	for _, data := range received.Envelopes {
		decoded, err := decode(data, newestVersion)
		switch {
		case errors.Is(err, ErrUnknownKind):
			continue
		case err != nil:
			decodeErrors = append(decodeErrors, err)
			continue
		}
		messages = append(messages, decoded)
	}
	return messages, errors.Join(decodeErrors...)
}
