package admin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/valveslip/valveslip/cluster"
)

// The bounds of asking other nodes.
const (
	// DefaultPeerTimeout bounds one question to another node.
	DefaultPeerTimeout = 2 * time.Second
	// peerConcurrency bounds the questions of one request in flight.
	peerConcurrency = 32
)

// Peers is how a node asks others. It passes the operator's own token on, so a
// node never learns more than the operator may.
type Peers struct {
	// Scheme of the others' administration listeners, "http" or "https".
	Scheme string
	HTTP   *http.Client
	// Timeout of one question; DefaultPeerTimeout when zero.
	Timeout time.Duration
}

// client returns a client of another node for the request's token.
func (p *Peers) client(r *http.Request, member *Member) *Client {
	_, secret, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	return &Client{URL: p.Scheme + "://" + member.AdminAddress, Token: secret, HTTP: p.HTTP, local: true}
}

func (p *Peers) timeout() time.Duration {
	if p.Timeout == 0 {
		return DefaultPeerTimeout
	}
	return p.Timeout
}

// asksPeers reports whether a request is to be answered with what other nodes
// know.
func (s *server) asksPeers(r *http.Request) bool {
	return s.Peers != nil && r.URL.Query().Get("local") != "true"
}

// gather asks the peers side by side and returns their answers in the peers'
// order, and which did not answer.
func gather[T any](s *server, r *http.Request, peers func(context.Context) []Member, ask func(*Client, context.Context) (T, error)) ([]T, []cluster.NodeID) {
	if !s.asksPeers(r) {
		return nil, nil
	}
	members := peers(r.Context())
	answers, failed := make([]T, len(members)), make([]bool, len(members))
	var group errgroup.Group
	group.SetLimit(peerConcurrency)
	for i := range members {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(r.Context(), s.Peers.timeout())
			defer cancel()
			answer, err := ask(s.Peers.client(r, &members[i]), ctx)
			if failed[i] = err != nil; err == nil {
				answers[i] = answer
			}
			return nil
		})
	}
	// The functions return no errors; those that failed are listed instead.
	_ = group.Wait()
	var missing []cluster.NodeID
	given := answers[:0]
	for i := range members {
		if failed[i] {
			missing = append(missing, members[i].ID)
			continue
		}
		given = append(given, answers[i])
	}
	return given, missing
}

// alivePeers returns the other nodes that are not known to be gone.
func (s *server) alivePeers(ctx context.Context) []Member {
	members, err := s.Backend.Members(ctx)
	if err != nil {
		return nil
	}
	members = slices.DeleteFunc(slices.Clone(members), func(member Member) bool {
		return member.ID == s.Self || member.State == memberDead || member.AdminAddress == ""
	})
	slices.SortFunc(members, func(a, b Member) int { return compareText(a.ID, b.ID) })
	return members
}

// memberDead is the state of a member that is gone.
const memberDead = "dead"

// controllerPeers returns the other nodes that control a zone.
func (s *server) controllerPeers(ctx context.Context) []Member {
	controllers, err := s.Backend.Controllers(ctx)
	if err != nil {
		return nil
	}
	return slices.DeleteFunc(s.alivePeers(ctx), func(member Member) bool {
		return !slices.ContainsFunc(controllers, func(c Controller) bool { return c.Node == member.ID })
	})
}

// acceptingPeer returns the node that accepted a request, when that is another
// one that may still answer.
func (s *server) acceptingPeer(r *http.Request, id cluster.RequestID) (Member, bool) {
	at := strings.LastIndexByte(string(id), '.')
	if at < 0 || !s.asksPeers(r) {
		return Member{}, false
	}
	peers := s.alivePeers(r.Context())
	found := slices.IndexFunc(peers, func(member Member) bool { return string(member.ID) == string(id[:at]) })
	if found < 0 {
		return Member{}, false
	}
	return peers[found], true
}
