package soak

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/soak/proxy"
)

// prepareNodes opens the proxies of every node.
func (r *run) prepareNodes() error {
	var err error
	for index := range r.options.Schedule.Nodes {
		ip := r.network + strconv.Itoa(index+1)
		node := &process{run: r, index: index, ip: ip, done: make(chan struct{})}
		node.client = node.newClient()
		node.earlier = r.options.From != ""
		node.stays = node.earlier && slices.Contains(r.options.Schedule.Earlier, index)
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
		r.shown[peer] = node.peers.Address()
		r.nodes = append(r.nodes, node)
	}
	return nil
}

// freeNetwork finds a part of the loopback network that no other run uses.
func freeNetwork() (string, error) {
	const first, last = 64, 127
	for try := range 64 {
		network := fmt.Sprintf("127.%d.%d.", first+(os.Getpid()>>8+try)%(last-first+1), os.Getpid()&0xff)
		listener, err := net.Listen("tcp", network+"1:"+strconv.Itoa(callersPort))
		if err == nil {
			return network, listener.Close()
		}
	}
	return "", eris.New("no part of the loopback network is free")
}

// proxiesAt is the last number of the address of all proxies. No connection begins
// there, so a port that was closed is free when it is opened again.
const proxiesAt = "254"

// newProxy opens a proxy that ends with the run, at a link of a rate that may be shared.
func (r *run) newProxy(target string, standIn bool, link *proxy.Rate) (*proxy.Proxy, error) {
	opened, err := proxy.Listen(proxy.Options{
		Address: net.JoinHostPort(r.network+proxiesAt, "0"), Target: target, StandIn: standIn, Rate: link, Failed: r.fail,
	})
	if err == nil {
		r.mu.Lock()
		r.proxies = append(r.proxies, opened)
		r.mu.Unlock()
	}
	return opened, err
}

// show has nodes find each other's proxy in a node's record.
func (r *run) show(key string, value []byte) []byte {
	if !strings.HasPrefix(key, fleet.KeyRoot) {
		return value
	}
	entry, err := fleet.DecodeNodeEntry(value)
	if err != nil {
		return value
	}
	if shown, known := r.shown[entry.Address]; known {
		entry.Address = shown
		return entry.Encode()
	}
	return value
}
