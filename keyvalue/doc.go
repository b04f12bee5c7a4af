// Package keyvalue defines what valveslip needs of the platform's key-value service
// and a client for its published protocol, the etcd v3 HTTP/JSON gateway.
package keyvalue
