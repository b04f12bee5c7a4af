package check

// Route is a kind of request that callers send.
type Route string

// The routes.
const (
	// RouteWrite requests may run only once.
	RouteWrite Route = "write"
	// RouteRead requests may be retried.
	RouteRead Route = "read"
	// RouteStream answers with a stream that can be resumed, RouteOnce with one that can't.
	RouteStream Route = "stream"
	RouteOnce   Route = "once"
	// RouteKeyed requires an API key and may be retried. It is not included in Routes.
	RouteKeyed Route = "keyed"
)

// Routes returns the routes that need no API key.
func Routes() []Route { return []Route{RouteWrite, RouteRead, RouteStream, RouteOnce} }

// Streams reports whether answers are streams.
func (r Route) Streams() bool { return r == RouteStream || r == RouteOnce }
