package wire

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	watermillhttp "github.com/ThreeDotsLabs/watermill-http/v2/pkg/http"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/go-chi/chi"
	"github.com/rotisserie/eris"
)

const (
	// messagesPath is the path at which a node receives messages.
	messagesPath = "/messages"
	// versionHeader is the response header with the newest schema version that the receiver
	// reads.
	versionHeader = "Valveslip-Wire-Version"
)

// Statistics holds the counters of a Transport since it was created.
type Statistics struct {
	// Sent counts messages acknowledged by the peer's transport, Dropped those dropped from a
	// full queue or because the transport was closed, Failed those that were not encoded or
	// not acknowledged.
	Sent, Dropped, Failed uint64
	// Unknown counts messages not sent because the peer's version lacks their kind.
	Unknown uint64
	// Received counts messages passed to the handler, Malformed requests with messages that
	// could not be decoded.
	Received, Malformed uint64
	// BytesSent and BytesReceived count the bytes of uncompressed request bodies.
	BytesSent, BytesReceived uint64
}

type counters struct {
	sent, dropped, failed, unknown, received, malformed, bytesSent, bytesReceived atomic.Uint64
}

// Transport carries messages between nodes over HTTP. Messages to a peer arrive in the order of
// sending and at most once. Any message may be lost.
type Transport struct {
	options   options
	logger    *slog.Logger
	handle    func(Message)
	listener  net.Listener
	server    *http.Server
	client    *http.Client
	publisher *watermillhttp.Publisher
	receiver  receiver
	arriving  arrivingRequests
	counters  counters

	lifetime context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup

	mutex   sync.Mutex
	senders map[string]*sender
	closed  bool
}

// receiver holds the watermill components that receive messages.
type receiver struct {
	subscriber *watermillhttp.Subscriber
	router     *message.Router
	stop       context.CancelFunc
}

// close ends the subscription. No request may be in progress. The router does not always close its
// subscriber when its context ends, so close does that, after it has cancelled the context and before
// it closes the router.
func (r *receiver) close() error {
	r.stop()
	if err := r.subscriber.Close(); err != nil {
		return err
	}
	return r.router.Close()
}

// NewTransport returns a transport that listens on the address host:port, where port 0 lets the
// kernel choose, and calls handle with each received message. Messages of one peer are handled one
// after the other, those of different peers concurrently.
func NewTransport(listen string, logger *slog.Logger, handle func(Message), opts ...Option) (*Transport, error) {
	transport := &Transport{
		options: options{queueLength: DefaultQueueLength, sendTimeout: DefaultSendTimeout, announcedVersion: VersionCurrent, parallelDialDelay: parallelDialDelay, maxHeaderBytes: maxHeaderBytes, handlers: map[string]http.Handler{}, now: time.Now},
		logger:  logger,
		handle:  handle,
		senders: make(map[string]*sender),
	}
	for _, apply := range opts {
		apply(&transport.options)
	}
	transport.lifetime, transport.stop = context.WithCancel(context.Background())
	adapter := watermill.NewSlogLoggerWithLevelMapping(logger, map[slog.Level]slog.Level{
		slog.LevelInfo: slog.LevelDebug,
	})
	if err := transport.openClient(adapter); err != nil {
		return nil, err
	}
	handler, err := transport.subscribe(adapter)
	if err != nil {
		return nil, err
	}
	if err := transport.listen(listen, handler); err != nil {
		_ = transport.receiver.close()
		return nil, err
	}
	return transport, nil
}

// openClient creates the publisher, which reuses its connections.
func (t *Transport) openClient(adapter watermill.LoggerAdapter) error {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: setSocketOptions, KeepAliveConfig: keepAliveConfig}
	t.client = &http.Client{Transport: &http.Transport{
		DialContext:         dialInParallel(dialer.DialContext, t.options.parallelDialDelay),
		TLSClientConfig:     t.options.clientTLS,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleConnectionTimeout,
		DisableCompression:  true,
	}}
	publisher, err := watermillhttp.NewPublisher(watermillhttp.PublisherConfig{
		MarshalMessageFunc:                t.marshalRequest,
		Client:                            &http.Client{Transport: versionReader{stallTimeout{next: t.client.Transport, timeout: t.options.sendTimeout}}},
		DoNotLogResponseBodyOnServerError: true,
	}, adapter)
	t.publisher = publisher
	return eris.Wrap(err, "create the publisher of peer messages")
}

// marshalRequest returns the request for a message. It sends only the payload: nodes do not need
// watermill's message identifiers and metadata.
func (t *Transport) marshalRequest(url string, msg *message.Message) (*http.Request, error) {
	header := http.Header{"User-Agent": {""}, "Content-Type": {"avro/binary"}}
	if threshold := t.options.compressionThreshold; threshold > 0 && len(msg.Payload) > threshold {
		compressed, err := compress(msg.Payload)
		if err != nil {
			return nil, eris.Wrap(err, "compress the body of a request to a peer")
		}
		msg.Payload = compressed
		header.Set(encodingHeader, encodingDeflate)
	}
	request, err := watermillhttp.DefaultMarshalMessageFunc(url, msg)
	if err != nil {
		return nil, err
	}
	request.Header = header
	return request.WithContext(msg.Context()), nil
}

// subscribe returns the HTTP handler that passes received requests to receive.
func (t *Transport) subscribe(adapter watermill.LoggerAdapter) (http.Handler, error) {
	mux := chi.NewRouter()
	subscriber, err := watermillhttp.NewSubscriber("", watermillhttp.SubscriberConfig{
		Router:               mux,
		UnmarshalMessageFunc: unmarshalRequest,
	}, adapter)
	if err != nil {
		return nil, eris.Wrap(err, "create the subscriber of peer messages")
	}
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: t.options.sendTimeout}, adapter)
	if err != nil {
		return nil, eris.Wrap(err, "create the router of peer messages")
	}
	router.AddConsumerHandler("peers", messagesPath, subscriber, t.receive)
	routing, stop := context.WithCancel(context.Background())
	t.receiver = receiver{subscriber: subscriber, router: router, stop: stop}
	t.running.Go(func() {
		if err := router.Run(routing); err != nil {
			t.logger.Error("peer message router stopped", "error", err)
		}
	})
	<-router.Running()
	return announceVersion(t.arriving.handler(mux), t.options.announcedVersion), nil
}

// unmarshalRequest reads a request body of at most maxBodyBytes.
func unmarshalRequest(_ string, request *http.Request) (*message.Message, error) {
	body, err := io.ReadAll(io.LimitReader(requestBody(request), maxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBodyBytes {
		return nil, ErrTooLarge
	}
	return message.NewMessage("", body), nil
}

// announceVersion sets versionHeader in every response, and no Date header.
func announceVersion(next http.Handler, version int32) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		header := writer.Header()
		header.Set(versionHeader, strconv.Itoa(int(version)))
		header["Date"] = nil
		next.ServeHTTP(writer, request)
	})
}

// receive passes the messages of a request to the handler. It always acknowledges the request, since
// a message that cannot be decoded now cannot be decoded later.
func (t *Transport) receive(msg *message.Message) error {
	t.counters.bytesReceived.Add(uint64(len(msg.Payload)))
	messages, err := decodeBatch(msg.Payload, t.options.announcedVersion)
	for _, received := range messages {
		t.counters.received.Add(1)
		t.handle(received)
	}
	if err != nil {
		t.counters.malformed.Add(1)
		t.logger.Warn("peer message not understood", "error", err)
	}
	return nil
}

// listen starts to serve handler on address.
func (t *Transport) listen(address string, handler http.Handler) error {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig}
	listener, err := config.Listen(t.lifetime, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen for peers on %s", address)
	}
	listener = userTimeoutListener{listener}
	t.listener = listener
	t.server = &http.Server{
		Handler:           t.route(withStallTimeout(handler, t.options.sendTimeout)),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleConnectionTimeout,
		MaxHeaderBytes:    t.options.maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(t.logger.Handler(), slog.LevelDebug),
	}
	if t.options.serverTLS != nil {
		listener = tls.NewListener(listener, t.options.serverTLS)
	}
	t.running.Go(func() {
		if err := t.server.Serve(listener); err != http.ErrServerClosed {
			t.logger.Error("peer listener stopped", "error", err)
		}
	})
	return nil
}

// route passes requests for the paths of WithHandler to their handlers and all others on.
func (t *Transport) route(messages http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if handler := t.options.handlers[request.URL.Path]; handler != nil {
			handler.ServeHTTP(writer, request)
			return
		}
		messages.ServeHTTP(writer, request)
	})
}

// Address returns the address at which this transport receives messages, host:port.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Statistics returns the present values of the counters.
func (t *Transport) Statistics() Statistics {
	c := &t.counters
	return Statistics{
		Sent: c.sent.Load(), Dropped: c.dropped.Load(), Failed: c.failed.Load(), Unknown: c.unknown.Load(),
		Received: c.received.Load(), Malformed: c.malformed.Load(),
		BytesSent: c.bytesSent.Load(), BytesReceived: c.bytesReceived.Load(),
	}
}

// Close sends the queued messages until ctx ends, then stops the transport. Messages sent later are
// dropped.
func (t *Transport) Close(ctx context.Context) error {
	t.mutex.Lock()
	closed := t.closed
	t.closed = true
	for _, sender := range t.senders {
		close(sender.queue)
	}
	t.senders = nil
	t.mutex.Unlock()
	if closed {
		return nil
	}
	stopWaiting := context.AfterFunc(ctx, t.stop)
	defer stopWaiting()
	err := t.server.Shutdown(ctx)
	if err != nil {
		_ = t.server.Close()
	}
	t.arriving.close()
	if closing := t.receiver.close(); err == nil {
		err = closing
	}
	t.running.Wait()
	t.stop()
	t.client.CloseIdleConnections()
	return eris.Wrap(err, "close peer transport")
}
