// Package keyvalue defines the operations of the platform's key-value service that
// valveslip uses, and a client for the service's published protocol, the etcd v3 HTTP/JSON
// gateway.
package keyvalue
