// Package gateway holds the messages of the etcd v3 HTTP/JSON gateway that
// valveslip uses. Keys and values are base64 text and 64-bit integers are
// decimal text, as the gateway's published mapping says; fields with the zero
// value are left out.
package gateway
