// Package verdict defines the error type that crosses every package boundary on
// the request path. Each error says whether the request it concerns may have
// been executed by an engine, because that alone decides whether it may be
// retried.
package verdict
