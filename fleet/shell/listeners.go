package shell

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/passthrough"
	"github.com/valveslip/valveslip/wire"
)

// Limits of the listeners' connections.
const (
	// headerTimeout and idleTimeout close unused connections. They are long so that no caller
	// that uses its connection is cut off.
	headerTimeout = 10 * time.Second
	idleTimeout   = 90 * time.Second
	// maxHeaderBytes limits the memory that a request takes before its route is known.
	maxHeaderBytes = 64 << 10
)

// compressionThresholdBytes is the size from which messages to other nodes are compressed. These
// are configurations, which relays send to dozens of nodes over links of 20 Mbit/s. Smaller
// messages fit into a few packets uncompressed.
const compressionThresholdBytes = 16 << 10

// MetricsPath is the path of the metrics endpoint.
const MetricsPath = "/metrics"

// openListeners opens the transport to other nodes and the HTTP listeners.
func (n *Node) openListeners() error {
	n.peerProxy = passthrough.NewPeerProxy(passthrough.PeerProxyConfig{
		Dialect: n.options.Dialect, Pool: n.pool, Path: n.path, Log: n.options.Log, FindMachine: n.findMachine, EntriesInclude: n.entriesInclude, Refuses: n.refusesPeers,
		Admits: n.admitsPeerRequest, Draining: n.stopping.Load, Report: n.Report, Retained: n.retained, MaxBodyBytes: n.maxBodyBytes,
	})
	transport, err := wire.NewTransport(n.options.PeerAddress, n.options.Logger, n.receive, wire.WithCompression(compressionThresholdBytes),
		wire.WithHandler(passthrough.PeerPath, maxHeaderBytes, n.peerProxy), wire.WithHandler(passthrough.PeerStartPath, maxHeaderBytes, n.peerProxy))
	if err != nil {
		return eris.Wrap(err, "open the listener for other nodes")
	}
	n.transport = transport
	n.options.Core.Self.Address = transport.Address()
	n.callerHandler = passthrough.NewHandler(passthrough.Config{
		Catalog: n.servingCatalog, CatalogReady: n.becameReady, Decider: n, Dialect: n.options.Dialect, Pool: n.pool, Self: n.options.Core.Self.ID, Peers: n.peerPool, Log: n.options.Log,
		Metrics: passthrough.NewMetrics(n.registry), NewID: n.newRequestID, Closing: n.closesConnections.Load, Admits: n.admits,
		NeedsFingerprint: n.needsFingerprint, FindKey: n.findKey, MaySend: n.checkSend, Path: n.path, EntriesInclude: n.entriesInclude, Retained: n.retained, MayAccept: n.admitRequest, MaxActiveRequests: n.options.CallerLimits.MaxRequestsInFlight,
	})
	if n.callerServer, err = n.startServer(&n.options.CallersAddress, n.callerHandler, n.limitCallers, n.callerConnections.Track); err != nil {
		return errors.Join(eris.Wrap(err, "open the listener for callers"), transport.Close(n.context))
	}
	readinessRouter := chi.NewRouter()
	readinessRouter.Get(n.options.ReadyPath, n.serveReadiness)
	if n.readinessServer, err = n.startServer(&n.options.ReadyAddress, readinessRouter, withSilenceLimit, nil); err != nil {
		return errors.Join(eris.Wrap(err, "open the listener for readiness probes"), transport.Close(n.context), n.callerServer.Close())
	}
	if n.options.MetricsAddress == "" {
		return nil
	}
	metricsRouter := chi.NewRouter()
	metricsRouter.Handle(MetricsPath, promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{DisableCompression: true}))
	if n.metricsServer, err = n.startServer(&n.options.MetricsAddress, metricsRouter, withSilenceLimit, nil); err != nil {
		n.options.Log.Write(eventlog.DependencyLost{Name: "metrics listener", Cause: err.Error()})
	}
	return nil
}

// startServer starts an HTTP server on a listener that it passes through wrap, and stores the
// listener's actual address in address. The server calls track as its ConnState.
func (n *Node) startServer(address *string, handler http.Handler, wrap func(net.Listener) net.Listener, track func(net.Conn, http.ConnState)) (*http.Server, error) {
	listener, err := n.options.Listen("tcp", *address)
	if err != nil {
		return nil, err
	}
	*address = listener.Addr().String()
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: track,
	}
	wrapped := wrap(listener)
	go func() {
		err := server.Serve(wrapped)
		closed := errors.Is(err, http.ErrServerClosed) || n.stopping.Load() && errors.Is(err, net.ErrClosed)
		if !closed {
			n.listenerErrors <- eris.Wrapf(err, "serve connections on listener %s", listener.Addr())
		}
	}()
	return server, nil
}

// ListenerErrors returns a channel that delivers the error of a listener that failed.
func (n *Node) ListenerErrors() <-chan error { return n.listenerErrors }

// Address returns the address of the callers' listener.
func (n *Node) Address() string { return n.options.CallersAddress }

// ReadyURL returns the URL of the readiness probe.
func (n *Node) ReadyURL() string { return "http://" + n.options.ReadyAddress + n.options.ReadyPath }

// MetricsURL returns the URL of the node's metrics; empty without a metrics listener.
func (n *Node) MetricsURL() string {
	if n.metricsServer == nil {
		return ""
	}
	return "http://" + n.options.MetricsAddress + MetricsPath
}
