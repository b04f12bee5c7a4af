// Package wire defines the messages between valveslip nodes, their Avro codec, and the
// transport that carries them over HTTP with watermill.
package wire
