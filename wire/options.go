package wire

import (
	"crypto/tls"
	"net/http"
	"time"
)

// Limits and timeouts of the transport.
const (
	// DefaultQueueLength is the default number of messages that may be queued for one peer.
	DefaultQueueLength = 256
	// DefaultSendTimeout is the default time that a request to a peer may make no progress.
	// A connection whose peer acknowledges nothing breaks sooner, after tcpUserTimeout.
	DefaultSendTimeout = 3 * time.Second
	// maxBatchMessages and maxBatchBytes bound one request body. A message larger than
	// maxBatchBytes is sent in a request of its own.
	maxBatchMessages = 64
	maxBatchBytes    = 1 << 20
	// maxBodyBytes bounds a received request body after decompression.
	maxBodyBytes = MaxMessageBytes + maxBatchBytes
	// senderIdleTimeout is the time without messages after which a sender is removed.
	senderIdleTimeout = time.Minute
	// dialTimeout bounds the opening of a connection to a peer.
	dialTimeout = 2 * time.Second
	// readHeaderTimeout bounds the reading of a request's header, idleConnectionTimeout the
	// time between two requests on a connection.
	readHeaderTimeout     = 5 * time.Second
	idleConnectionTimeout = 90 * time.Second
	// maxHeaderBytes bounds the headers of a received request.
	maxHeaderBytes = 8 << 10
)

// Option changes a setting of a Transport.
type Option func(*options)

type options struct {
	serverTLS, clientTLS *tls.Config
	queueLength          int
	sendTimeout          time.Duration
	// compressionThreshold is the size in bytes above which request bodies are compressed;
	// zero means never.
	compressionThreshold int
	// announcedVersion is the newest schema version that this node reads, as announced to
	// senders.
	announcedVersion int32
	// parallelDialDelay is the time without a connection after which another dial is started.
	parallelDialDelay time.Duration
	// handlers serve further paths. Their requests have no stall timeout.
	handlers map[string]http.Handler
	// maxHeaderBytes bounds the header of a received request.
	maxHeaderBytes int
	// now is the clock that measures how long messages are queued.
	now func() time.Time
}

// WithTLS encrypts the messages. For mutual authentication, server must require and verify client
// certificates and client must present one. Both may reload their certificates through the
// callbacks of tls.Config.
func WithTLS(server, client *tls.Config) Option {
	return func(o *options) { o.serverTLS, o.clientTLS = server, client }
}

// WithQueueLength sets the number of messages that may be queued for one peer; the default is
// DefaultQueueLength.
func WithQueueLength(length int) Option {
	return func(o *options) { o.queueLength = length }
}

// WithSendTimeout sets the time that a request to or from a peer may make no progress; the default
// is DefaultSendTimeout.
func WithSendTimeout(timeout time.Duration) Option {
	return func(o *options) { o.sendTimeout = timeout }
}

// WithHandler serves a path on the listener for peers, for requests that may take long. Headers of
// received requests may be as long as maxHeaderBytes.
func WithHandler(path string, maxHeaderBytes int, handler http.Handler) Option {
	return func(o *options) {
		o.handlers[path] = handler
		o.maxHeaderBytes = max(o.maxHeaderBytes, maxHeaderBytes)
	}
}

func (o *options) scheme() string {
	if o.clientTLS != nil {
		return "https"
	}
	return "http"
}

// WithCompression compresses request bodies larger than threshold bytes. All nodes of the
// deployment must be of a build that has this option, since earlier ones cannot read them.
func WithCompression(threshold int) Option {
	return func(o *options) { o.compressionThreshold = threshold }
}
