// Package upstream keeps connections to the machines that serve requests. A
// connection carries one request at a time. Nothing is ever sent again: whoever
// makes an exchange learns whether bytes of the request left, and decides.
package upstream
