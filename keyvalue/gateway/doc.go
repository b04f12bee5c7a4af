// Package gateway defines the messages of the etcd v3 HTTP/JSON gateway that valveslip uses.
// By the gateway's published mapping keys and values are base64 strings, 64-bit integers are
// decimal strings, and fields with the zero value are left out.
package gateway
