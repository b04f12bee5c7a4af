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
	// messagesPath is where a node takes messages.
	messagesPath = "/messages"
	// versionHeader of a response names the newest schema version the
	// receiver reads.
	versionHeader = "Valveslip-Wire-Version"
)

// Statistics counts what a Transport did since it was made.
type Statistics struct {
	// Sent messages were acknowledged by the peer's transport; Dropped ones
	// found their queue full; Failed ones were lost on the way.
	Sent, Dropped, Failed uint64
	// Unknown ones were not sent, since the peer's version lacks their kind.
	Unknown uint64
	// Received messages were handed on; Malformed ones could not be read.
	Received, Malformed uint64
	// BytesSent and BytesReceived count request bodies.
	BytesSent, BytesReceived uint64
}

type counters struct {
	sent, dropped, failed, unknown, received, malformed, bytesSent, bytesReceived atomic.Uint64
}

// Transport carries messages between nodes over HTTP. Messages to one peer
// arrive in sending order, each at most once; any may be lost.
type Transport struct {
	options   options
	logger    *slog.Logger
	handle    func(Message)
	listener  net.Listener
	server    *http.Server
	client    *http.Client
	publisher *watermillhttp.Publisher
	receiver  receiver
	counters  counters

	lifetime context.Context
	stop     context.CancelFunc
	running  sync.WaitGroup

	mutex   sync.Mutex
	senders map[string]*sender
	closed  bool
}

// receiver is the watermill side that takes messages.
type receiver struct {
	subscriber *watermillhttp.Subscriber
	router     *message.Router
	stop       context.CancelFunc
}

// close ends the subscription. No request may be in progress. The router does
// not always close its subscriber when its context ends, so this does, after
// the context and before the router.
func (r *receiver) close() error {
	r.stop()
	if err := r.subscriber.Close(); err != nil {
		return err
	}
	return r.router.Close()
}

// NewTransport listens on the address, host:port, where port 0 lets the kernel
// choose, and hands every received message to handle. Messages of one peer are
// handed on one after the other, those of several peers at the same time.
func NewTransport(listen string, logger *slog.Logger, handle func(Message), settings ...Option) (*Transport, error) {
	transport := &Transport{
		options: options{queueLength: DefaultQueueLength, sendTimeout: DefaultSendTimeout, announce: VersionCurrent, dialAgain: dialAgain, now: time.Now},
		logger:  logger,
		handle:  handle,
		senders: make(map[string]*sender),
	}
	for _, apply := range settings {
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

// openClient makes the publisher, whose connections are kept and reused.
func (t *Transport) openClient(adapter watermill.LoggerAdapter) error {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: limitSilence, KeepAliveConfig: probes}
	t.client = &http.Client{Transport: &http.Transport{
		DialContext:         repeatedly(dialer.DialContext, t.options.dialAgain),
		TLSClientConfig:     t.options.clientTLS,
		TLSHandshakeTimeout: dialTimeout,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleConnection,
		DisableCompression:  true,
	}}
	publisher, err := watermillhttp.NewPublisher(watermillhttp.PublisherConfig{
		MarshalMessageFunc:                t.marshalRequest,
		Client:                            &http.Client{Transport: versionReader{stallBound{next: t.client.Transport, limit: t.options.sendTimeout}}},
		DoNotLogResponseBodyOnServerError: true,
	}, adapter)
	t.publisher = publisher
	return eris.Wrap(err, "make publisher")
}

// marshalRequest carries only the payload: identifiers and metadata of the
// bus are not needed between nodes.
func (t *Transport) marshalRequest(url string, msg *message.Message) (*http.Request, error) {
	header := http.Header{"User-Agent": {""}, "Content-Type": {"avro/binary"}}
	if above := t.options.compressAbove; above > 0 && len(msg.Payload) > above {
		compressed, err := compress(msg.Payload)
		if err != nil {
			return nil, eris.Wrap(err, "compress a request to a peer")
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

// subscribe connects the received requests with receive.
func (t *Transport) subscribe(adapter watermill.LoggerAdapter) (http.Handler, error) {
	mux := chi.NewRouter()
	subscriber, err := watermillhttp.NewSubscriber("", watermillhttp.SubscriberConfig{
		Router:               mux,
		UnmarshalMessageFunc: unmarshalRequest,
	}, adapter)
	if err != nil {
		return nil, eris.Wrap(err, "make subscriber")
	}
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: t.options.sendTimeout}, adapter)
	if err != nil {
		return nil, eris.Wrap(err, "make router")
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
	return announceVersion(mux, t.options.announce), nil
}

// unmarshalRequest reads a bounded body.
func unmarshalRequest(_ string, request *http.Request) (*message.Message, error) {
	body, err := io.ReadAll(io.LimitReader(bodyOf(request), maxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBodyBytes {
		return nil, ErrTooLarge
	}
	return message.NewMessage("", body), nil
}

// announceVersion tells every sender the newest version this node reads.
func announceVersion(next http.Handler, version int32) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		header := writer.Header()
		header.Set(versionHeader, strconv.Itoa(int(version)))
		header["Date"] = nil
		next.ServeHTTP(writer, request)
	})
}

// receive hands on the messages of one request. It always acknowledges: a
// message that cannot be read now cannot be read later.
func (t *Transport) receive(msg *message.Message) error {
	t.counters.bytesReceived.Add(uint64(len(msg.Payload)))
	messages, err := decodeBatch(msg.Payload, t.options.announce)
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

// listen serves handler on address.
func (t *Transport) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen for peers on %s", address)
	}
	t.listener = listener
	t.server = &http.Server{
		Handler:           boundStall(handler, t.options.sendTimeout),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleConnection,
		MaxHeaderBytes:    maxHeaderBytes,
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

// Address is where this transport takes messages, host:port.
func (t *Transport) Address() string { return t.listener.Addr().String() }

// Statistics returns the counts so far.
func (t *Transport) Statistics() Statistics {
	c := &t.counters
	return Statistics{
		Sent: c.sent.Load(), Dropped: c.dropped.Load(), Failed: c.failed.Load(), Unknown: c.unknown.Load(),
		Received: c.received.Load(), Malformed: c.malformed.Load(),
		BytesSent: c.bytesSent.Load(), BytesReceived: c.bytesReceived.Load(),
	}
}

// Close sends what is queued, as far as ctx allows, then stops. Later messages
// are dropped.
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
	if closing := t.receiver.close(); err == nil {
		err = closing
	}
	t.running.Wait()
	t.stop()
	t.client.CloseIdleConnections()
	return eris.Wrap(err, "close peer transport")
}
