package proxy

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// Partition is how a proxy treats clients that are cut off from its target.
type Partition uint8

// The kinds of partitions.
const (
	// PartitionHang drops all packets of the clients: open connections fall silent, and new ones
	// never come up.
	PartitionHang Partition = iota + 1
	// PartitionSilence drops all packets on open connections; new ones come up and fall silent.
	PartitionSilence
	// PartitionReset resets open and new connections.
	PartitionReset
	// PartitionRefuse leaves open connections alone and resets new ones.
	PartitionRefuse
)

// partitioned is the set of clients that are cut off, by address, with the kind of each.
type partitioned map[netip.Addr]Partition

// hanging returns the clients whose packets are dropped before a connection is up, in order.
func (p partitioned) hanging() []netip.Addr {
	var list []netip.Addr
	for client, kind := range p {
		if kind == PartitionHang {
			list = append(list, client)
		}
	}
	slices.SortFunc(list, netip.Addr.Compare)
	return list
}

// CutOff cuts the clients at the given addresses off from the target until Heal is called for them.
func (p *Proxy) CutOff(kind Partition, clients ...netip.Addr) error {
	p.mu.Lock()
	for _, client := range clients {
		p.partitioned[client] = kind
	}
	err := p.filterListener()
	p.mu.Unlock()
	for _, open := range p.openLinks() {
		if !slices.Contains(clients, open.clientAddress()) {
			continue
		}
		switch kind {
		case PartitionHang, PartitionSilence:
			err = errors.Join(err, dropPackets(open.client, dropAll))
		case PartitionReset:
			open.reset()
		}
	}
	return err
}

// Heal ends the partitions of the clients at the given addresses. Packets that were dropped are sent
// again by the kernels, as far as these have not given up.
func (p *Proxy) Heal(clients ...netip.Addr) error {
	p.mu.Lock()
	for _, client := range clients {
		delete(p.partitioned, client)
	}
	err := p.filterListener()
	p.mu.Unlock()
	p.abortSilent(func(client netip.Addr) bool { return slices.Contains(clients, client) })
	for _, open := range p.openLinks() {
		if slices.Contains(clients, open.clientAddress()) {
			err = errors.Join(err, acceptPackets(open.client))
		}
	}
	return err
}

// filterListener makes the kernel drop the packets of hanging clients that arrive at the listener,
// among them those that open connections. The caller holds the mutex.
func (p *Proxy) filterListener() error {
	if p.listener == nil {
		return nil
	}
	hanging := p.partitioned.hanging()
	if len(hanging) == 0 {
		return acceptPackets(p.listener)
	}
	return dropPackets(p.listener, dropFrom(hanging))
}

// partitionOf returns the partition that a client is in, zero for none.
func (p *Proxy) partitionOf(client *net.TCPConn) Partition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.partitioned[addressOf(client.RemoteAddr())]
}

// keepSilent drops all packets of a connection that came up during a partition, until it is healed. The
// target is not dialed: the proxy does not learn that the client has closed such a connection, and would keep
// three file descriptors for each.
func (p *Proxy) keepSilent(client *net.TCPConn) {
	if err := dropPackets(client, dropAll); err != nil {
		p.options.OnError(err)
	}
	p.mu.Lock()
	p.silent = append(p.silent, client)
	closed := p.closed
	p.mu.Unlock()
	if closed {
		abort(client)
	}
}

// abortSilent resets the silent connections of the clients that concerned reports.
func (p *Proxy) abortSilent(concerned func(client netip.Addr) bool) {
	p.mu.Lock()
	var ended []*net.TCPConn
	p.silent = slices.DeleteFunc(p.silent, func(client *net.TCPConn) bool {
		if !concerned(addressOf(client.RemoteAddr())) {
			return false
		}
		ended = append(ended, client)
		return true
	})
	p.mu.Unlock()
	for _, client := range ended {
		abort(client)
	}
}

// clientAddress returns the IP address that the client's connection originates from.
func (l *link) clientAddress() netip.Addr { return addressOf(l.client.RemoteAddr()) }

func addressOf(remote net.Addr) netip.Addr {
	if tcp, ok := remote.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// dropAll is a packet filter that drops every packet.
var dropAll = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}

const (
	// networkHeader is the offset at which a filter of a TCP socket reads the IP header.
	networkHeader = 0xfff00000
	// sourceOffset is the offset of the source address in the IP header.
	sourceOffset = 12
	// keepPacket is the result of a filter that keeps the whole packet.
	keepPacket = 0xffffffff
)

// dropFrom returns a packet filter that drops the packets from the given addresses.
func dropFrom(sources []netip.Addr) []unix.SockFilter {
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: networkHeader + sourceOffset}}
	for i, source := range sources {
		bytes := source.As4()
		toDrop := uint8(len(sources) - i)
		filter = append(filter, unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: binary.BigEndian.Uint32(bytes[:]), Jt: toDrop})
	}
	return append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: keepPacket}, dropAll[0])
}

// dropPackets attaches a packet filter to a socket.
func dropPackets(socket any, filter []unix.SockFilter) error {
	return control(socket, func(descriptor int) error {
		return unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
}

// acceptPackets removes the packet filter of a socket, if it has one.
func acceptPackets(socket any) error {
	return control(socket, func(descriptor int) error {
		err := unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
		if errors.Is(err, unix.ENOENT) {
			return nil
		}
		return err
	})
}

// control calls set with the descriptor of a socket. A closed socket is no error.
func control(socket any, set func(descriptor int) error) error {
	raw, err := socket.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(descriptor uintptr) { failure = set(int(descriptor)) })
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Join(err, failure)
}
