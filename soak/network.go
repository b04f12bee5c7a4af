package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/soak/proxy"
)

// prepareNodes creates the nodes and opens the proxies for their links.
func (r *run) prepareNodes() error {
	var err error
	for index := range r.options.Schedule.Nodes {
		ip := r.network + strconv.Itoa(index+1)
		node := &process{run: r, index: index, ip: ip, done: make(chan struct{})}
		node.client = node.newClient()
		node.runsEarlier = r.options.From != ""
		node.keepsEarlier = node.runsEarlier && slices.Contains(r.options.Schedule.Earlier, index)
		link := proxy.NewRate(r.options.Schedule.LinkMbps)
		peer := net.JoinHostPort(ip, strconv.Itoa(peerPort))
		targets := map[**proxy.Proxy]string{
			&node.callers: net.JoinHostPort(ip, strconv.Itoa(callersPort)), &node.store: r.server.Address(), &node.peers: peer,
		}
		for to, target := range targets {
			if *to, err = r.newProxy(target, to == &node.store, link); err != nil {
				return err
			}
		}
		r.peerProxies[peer] = node.peers.Address()
		r.nodes = append(r.nodes, node)
	}
	return nil
}

// reservedHostNumber is the last number of the IP address at which a run listens for as long as it uses its network.
// It is above those of all nodes.
const reservedHostNumber = "253"

// reserveNetwork returns the prefix of a /24 network in the loopback range that no other run uses, and what keeps
// other runs from it until it is closed.
func reserveNetwork() (string, io.Closer, error) {
	const first, last = 64, 127
	for try := range 64 {
		network := fmt.Sprintf("127.%d.%d.", first+(os.Getpid()>>8+try)%(last-first+1), os.Getpid()&0xff)
		held, err := listenAt(network + reservedHostNumber)
		if err != nil {
			continue
		}
		// Another program may listen at the address of a node.
		node, err := listenAt(network + "1")
		if err == nil {
			return network, held, node.Close()
		}
		if err := held.Close(); err != nil {
			return "", nil, eris.Wrap(err, "release a loopback network")
		}
	}
	return "", nil, eris.New("find a free loopback network: all candidates are in use")
}

// listenAt listens at an IP address, on the port at which nodes take callers.
func listenAt(ip string) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(callersPort)))
}

// proxyHostNumber is the last number of the IP address of all proxies. No connection
// originates from this address, so none takes a port there.
const proxyHostNumber = "254"

// newProxy opens a proxy that is closed at the end of the run. The rate limit link may be
// shared with other proxies.
func (r *run) newProxy(target string, simulated bool, link *proxy.Rate) (*proxy.Proxy, error) {
	opened, err := proxy.Listen(proxy.Options{
		Address: net.JoinHostPort(r.network+proxyHostNumber, "0"), Target: target, Simulated: simulated, Rate: link, OnError: r.fail,
	})
	if err == nil {
		r.mu.Lock()
		r.proxies = append(r.proxies, opened)
		r.mu.Unlock()
	}
	return opened, err
}

// rewriteNodeEntry replaces the address in a node's store entry by that of its proxy, so that
// nodes reach each other through proxies. Other values are returned unchanged.
func (r *run) rewriteNodeEntry(key string, value []byte) []byte {
	if !strings.HasPrefix(key, fleet.KeyRoot) {
		return value
	}
	entry, err := fleet.DecodeNodeEntry(value)
	if err != nil {
		return value
	}
	if shown, known := r.peerProxies[entry.Address]; known {
		entry.Address = shown
		return entry.Encode()
	}
	return value
}
