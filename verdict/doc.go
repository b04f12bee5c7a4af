// Package verdict defines the error type that packages on the request path return
// to each other. Each error says whether the request may have been executed by an
// engine, because that alone decides whether the request may be retried.
package verdict
