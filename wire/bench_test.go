package wire

import (
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"

	"github.com/valveslip/valveslip/cluster"
)

// typicalHeartbeat returns a heartbeat with the claims of 18 zones and gossip about two members.
func typicalHeartbeat() Heartbeat {
	heartbeat := Heartbeat{From: sampleNode, Incarnation: 1 << 40, Sequence: 1 << 20, Stamp: sampleStamp, MembersDigest: 1 << 62}
	for range 18 {
		heartbeat.Claims = append(heartbeat.Claims, ControllerClaim{Zone: "east-1", Node: "node-000000000001", Token: 1 << 30})
	}
	for range 2 {
		heartbeat.Gossip = append(heartbeat.Gossip, MemberRecord{Node: sampleNode, Incarnation: 1 << 40, State: "alive"})
	}
	return heartbeat
}

func BenchmarkEncodeHeartbeat(b *testing.B) {
	heartbeat := typicalHeartbeat()
	var size int
	b.ReportAllocs()
	for b.Loop() {
		data, err := Encode(heartbeat)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "B/message")
}

func BenchmarkDecodeHeartbeat(b *testing.B) {
	data, err := Encode(typicalHeartbeat())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTransport sends messages one by one over loopback through a proxy that counts the bytes
// of the HTTP exchange in both directions.
func BenchmarkTransport(b *testing.B) {
	received := make(chan struct{}, 1)
	open := func(handle func(Message)) *Transport {
		transport, err := NewTransport("127.0.0.1:0", slog.New(slog.DiscardHandler), handle)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = transport.Close(b.Context()) })
		return transport
	}
	to := open(func(Message) { received <- struct{}{} })
	from := open(func(Message) {})
	var transferred atomic.Int64
	relay := countingProxy(b, to.Address(), &transferred)
	message := CellStatusRequest{Zone: cluster.ZoneID("east-1")}
	payload, err := Encode(message)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		from.Send(relay, message)
		<-received
	}
	b.ReportMetric(float64(transferred.Load())/float64(b.N)-float64(len(payload)), "overhead-B/message")
}

// countingProxy forwards one TCP connection to address, counts its bytes in both directions, and
// returns the proxy's own address.
func countingProxy(b *testing.B, address string, count *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		copyCounting := func(to, from net.Conn) {
			defer to.Close()
			_, _ = io.Copy(to, io.TeeReader(from, byteCounter{count}))
		}
		go copyCounting(server, client)
		copyCounting(client, server)
	}()
	return listener.Addr().String()
}

type byteCounter struct{ count *atomic.Int64 }

func (c byteCounter) Write(data []byte) (int, error) {
	c.count.Add(int64(len(data)))
	return len(data), nil
}
