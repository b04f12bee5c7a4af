package wire

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"sync"
	"testing"
)

// TestTransportClosesBesideArrivingRequests guards against a transport that ends without waiting for its requests, as
// that of a killed node, and closes the channel of received messages while a request sends to it. The race detector
// shows it.
func TestTransportClosesBesideArrivingRequests(t *testing.T) {
	const (
		rounds  = 150
		senders = 8
	)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range rounds {
		transport, err := NewTransport("127.0.0.1:0", slog.New(slog.DiscardHandler), func(Message) {})
		if err != nil {
			t.Fatal(err)
		}
		var sending sync.WaitGroup
		arrived := make(chan struct{}, senders)
		for range senders {
			sending.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				for {
					response, err := client.Post("http://"+transport.Address()+messagesPath, "avro/binary", bytes.NewReader([]byte("x")))
					if err != nil {
						return
					}
					_ = response.Body.Close()
					select {
					case arrived <- struct{}{}:
					default:
					}
				}
			})
		}
		for range senders {
			<-arrived
		}
		_ = transport.Close(ended)
		sending.Wait()
	}
}
