// Package poison detects poison requests, also known as queries of death: requests that crash the
// machines that run them. It recognizes a request by a fingerprint of its content, because a retry
// comes under another request ID and possibly to another node.
package poison
