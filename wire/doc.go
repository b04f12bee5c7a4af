// Package wire defines the messages between valveslip nodes, their Avro codec
// and the watermill transport that carries them.
package wire
