package check

// Route is a kind of request that callers send.
type Route string

// The routes.
const (
	// RouteWrite may run once only.
	RouteWrite Route = "write"
	// RouteRead may run again.
	RouteRead Route = "read"
	// RouteStream is a stream that can be continued, RouteOnce one that can't.
	RouteStream Route = "stream"
	RouteOnce   Route = "once"
	// RouteKeyed wants a key and may run again; it is not among Routes.
	RouteKeyed Route = "keyed"
)

// Routes lists the routes.
func Routes() []Route { return []Route{RouteWrite, RouteRead, RouteStream, RouteOnce} }

// Streams reports whether answers are streams.
func (r Route) Streams() bool { return r == RouteStream || r == RouteOnce }
