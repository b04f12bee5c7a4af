package passthrough

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/responsehead"
	"github.com/valveslip/valveslip/upstream"
)

// PeerPath is the path at which a node sends the requests of other nodes to machines. The request
// for the machine is the body of such a request, in the form of HTTP/1.1 (media type message/http),
// and so is the machine's answer.
const PeerPath = "/machine-requests"

// PeerStartPath takes the place of PeerPath for requests that only one start of a machine may run, which
// headerPeerStart names. Nodes of a build that does not check the start don't know the path.
const PeerStartPath = "/machine-requests/start"

// The header fields of requests and answers at PeerPath.
const (
	headerPeerMachine = "Valveslip-Machine"
	headerPeerNode    = "Valveslip-Node"
	// headerPeerStart is the start of the machine that must answer and, with OutcomeOtherStart, the one that does.
	headerPeerStart = "Valveslip-Start"
	// headerPeerTimeout is the time in milliseconds until the deadline of the request.
	headerPeerTimeout = "Valveslip-Timeout-Ms"
	// headerPeerOutcome is a field of the header if there is no answer of the machine, and otherwise
	// of the trailer.
	headerPeerOutcome = "Valveslip-Outcome"
	// headerPeerDraining is set by a node that is stopping and still sends the requests that end before it does.
	headerPeerDraining = "Valveslip-Draining"
	messageMediaType   = "message/http"
)

// PeerOutcome is the result of a request that another node sent to a machine.
type PeerOutcome string

// The outcomes.
const (
	// OutcomeComplete: the answer of the machine is complete.
	OutcomeComplete PeerOutcome = "complete"
	// OutcomeBroken: the machine closed the connection before that; OutcomeEnded: its address
	// refuses connections besides.
	OutcomeBroken PeerOutcome = "broken"
	OutcomeEnded  PeerOutcome = "ended"
	// OutcomeFailed: no complete answer for another reason.
	OutcomeFailed PeerOutcome = "failed"
	// OutcomeDisconnected: the connection to that node ended before an answer came. The request may have
	// been sent.
	OutcomeDisconnected PeerOutcome = "disconnected"

	// The request was not sent with the outcomes below.

	// OutcomeUnreachable: no connection to the machine could be opened; OutcomeRefused: its address
	// refuses connections; OutcomeBlocked: the machine takes no requests from that node now.
	OutcomeUnreachable PeerOutcome = "unreachable"
	OutcomeRefused     PeerOutcome = "refused"
	OutcomeBlocked     PeerOutcome = "blocked"
	// OutcomeOtherStart: another start of the machine answers than the one that must, or it does not say which.
	OutcomeOtherStart PeerOutcome = "other-start"
	// OutcomeNoPath: that node has lost its own path to machines; OutcomeOverloaded: it carries no
	// more; OutcomeDraining: it is stopping; OutcomeUnknown: it does not know the machine.
	OutcomeNoPath     PeerOutcome = "no-path"
	OutcomeOverloaded PeerOutcome = "overloaded"
	OutcomeDraining   PeerOutcome = "draining"
	OutcomeUnknown    PeerOutcome = "unknown-machine"
	// OutcomeNoAnswer: that node can't be reached; OutcomeUnsupported: its build has no PeerPath.
	OutcomeNoAnswer    PeerOutcome = "no-answer"
	OutcomeUnsupported PeerOutcome = "unsupported"
	// OutcomeEndsEarlier: that node is stopping and may end before this request. It sends shorter ones.
	OutcomeEndsEarlier PeerOutcome = "ends-earlier"
)

// passesOn reports whether another node may be asked in place of the one with this outcome.
func (o PeerOutcome) passesOn() bool {
	switch o {
	case OutcomeNoPath, OutcomeOverloaded, OutcomeDraining, OutcomeUnknown, OutcomeNoAnswer, OutcomeUnsupported, OutcomeEndsEarlier:
		return true
	}
	return false
}

// notSent reports whether the request was certainly not sent to the machine.
func (o PeerOutcome) notSent() bool {
	return o.passesOn() || o == OutcomeUnreachable || o == OutcomeRefused || o == OutcomeBlocked || o == OutcomeOtherStart
}

// machineRequest returns a request for a machine with the given head and body. The target stays as
// it was sent.
func machineRequest(head *http.Request, header http.Header, body []byte) *http.Request {
	if _, stated := header["User-Agent"]; !stated {
		header["User-Agent"] = []string{""}
	}
	target := &url.URL{Scheme: "http", Host: head.Host, Opaque: head.RequestURI}
	if !strings.HasPrefix(head.RequestURI, "/") || strings.HasPrefix(head.RequestURI, "//") {
		target = head.URL
	}
	request := &http.Request{Method: head.Method, URL: target, Host: head.Host, Header: header, ProtoMajor: 1, ProtoMinor: 1}
	if len(body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
	}
	return request
}

// newPeerRequest returns the request to a peer that carries a request for a machine, and its body. An empty start
// allows any start of the machine.
func newPeerRequest(peer Peer, self cluster.NodeID, machine, start cluster.MachineID, remaining time.Duration, inner *http.Request) (*http.Request, []byte, error) {
	var message bytes.Buffer
	if err := inner.Write(&message); err != nil {
		return nil, nil, eris.Wrapf(err, "encode the request to machine %s", machine)
	}
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: peer.Address, Path: PeerPath}, Host: peer.Address,
		ProtoMajor: 1, ProtoMinor: 1, Body: io.NopCloser(&message), ContentLength: int64(message.Len()),
		Header: http.Header{
			"User-Agent": {""}, "Content-Type": {messageMediaType}, headerPeerMachine: {string(machine)}, headerPeerNode: {string(self)},
			headerPeerTimeout: {strconv.FormatInt(max(remaining, time.Millisecond).Milliseconds(), 10)},
		},
	}
	if start != "" {
		request.URL.Path = PeerStartPath
		request.Header.Set(headerPeerStart, string(start))
	}
	return request, message.Bytes(), nil
}

// peerTask is a request at PeerPath.
type peerTask struct {
	from    cluster.NodeID
	machine cluster.MachineID
	// start is the start of the machine that must answer, empty for any.
	start   cluster.MachineID
	timeout time.Duration
	// inner is the head of the request for the machine.
	inner *http.Request
}

// readPeerTask reads the head of the request that a request at PeerPath carries. Its body is that of
// the inner request.
func readPeerTask(r *http.Request) (*peerTask, error) {
	millis, err := strconv.ParseInt(r.Header.Get(headerPeerTimeout), 10, 64)
	if err != nil || millis <= 0 {
		return nil, eris.Errorf("%s: %q is not a positive number", headerPeerTimeout, r.Header.Get(headerPeerTimeout))
	}
	inner, err := http.ReadRequest(bufio.NewReader(r.Body))
	if err != nil {
		return nil, eris.Wrap(err, "decode the request for the machine")
	}
	task := &peerTask{
		from: cluster.NodeID(r.Header.Get(headerPeerNode)), machine: cluster.MachineID(r.Header.Get(headerPeerMachine)),
		start: cluster.MachineID(r.Header.Get(headerPeerStart)), timeout: time.Duration(millis) * time.Millisecond, inner: inner,
	}
	return task, nil
}

// writeAnswerHead writes the head of a machine's answer as the begin of a message. The message ends
// with the body of the answer, so the head states no transfer coding.
func writeAnswerHead(w io.Writer, answer *http.Response) error {
	header := make(http.Header, len(answer.Header))
	copyEndToEnd(header, answer.Header)
	header.Del("Content-Length")
	if answer.ContentLength >= 0 {
		header.Set("Content-Length", formatInt(answer.ContentLength))
	}
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 " + strconv.Itoa(answer.StatusCode) + " " + http.StatusText(answer.StatusCode) + "\r\n")
	if err := header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	_, err := w.Write(head.Bytes())
	return err
}

// errMachineCut is the cause of the error of an answer that its machine cut off, as a peer reports.
var errMachineCut = eris.New("the machine cut off the answer")

// peerOutcomeError is the error of an answer through a peer that is not complete.
type peerOutcomeError struct{ outcome PeerOutcome }

// Error implements error.
func (e *peerOutcomeError) Error() string {
	return "the answer through a peer ended with outcome " + string(e.outcome)
}

// Unwrap returns the cause.
func (e *peerOutcomeError) Unwrap() error {
	if e.outcome == OutcomeBroken || e.outcome == OutcomeEnded {
		return errMachineCut
	}
	return io.ErrUnexpectedEOF
}

// readPeerAnswer reads the head of the machine's answer from the answer of a peer. The body of the
// result is complete only if the peer says so.
func readPeerAnswer(outer *http.Response, inner *http.Request) (*http.Response, error) {
	message := &peerMessage{outer: outer, inHead: true, headLeft: upstream.MaxHeadBytes}
	answer, err := http.ReadResponse(bufio.NewReader(message), inner)
	switch {
	case err != nil && message.headLeft <= 0:
		// The head was cut at its bound and may look malformed.
		return nil, upstream.ErrHeadTooLong
	case err != nil:
		return nil, err
	}
	if err := responsehead.Check(answer); err != nil {
		return nil, err
	}
	message.inHead = false
	answer.Body = &peerBody{ReadCloser: answer.Body, message: message}
	return answer, nil
}

// peerMessage reads the body of a peer's answer.
type peerMessage struct {
	outer *http.Response
	// inHead is set while the head of the machine's answer is read, of which headLeft bytes are allowed.
	inHead   bool
	headLeft int
}

// Read implements io.Reader. The end of the message is io.EOF only if the machine's answer is
// complete.
func (m *peerMessage) Read(buffer []byte) (int, error) {
	if m.inHead {
		if m.headLeft <= 0 {
			return 0, upstream.ErrHeadTooLong
		}
		buffer = buffer[:min(len(buffer), m.headLeft)]
	}
	n, err := m.outer.Body.Read(buffer)
	m.headLeft -= n
	if err == io.EOF {
		if outcome := PeerOutcome(m.outer.Trailer.Get(headerPeerOutcome)); outcome != OutcomeComplete {
			err = &peerOutcomeError{outcome: outcome}
		}
	}
	return n, err
}

// peerBody is the body of a machine's answer that came through a peer.
type peerBody struct {
	io.ReadCloser
	message *peerMessage
}

// Read implements io.Reader. At the end it reads the rest of the peer's message, so that the
// connection can carry another one.
func (b *peerBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err == io.EOF {
		if _, drainErr := io.CopyN(io.Discard, b.message, maxStaleAnswerBytes); !errors.Is(drainErr, io.EOF) {
			return n, drainErr
		}
	}
	return n, err
}

// outcomeOf returns the outcome in the error of an answer through a peer.
func outcomeOf(err error) PeerOutcome {
	var ended *peerOutcomeError
	if errors.As(err, &ended) {
		return ended.outcome
	}
	return OutcomeFailed
}

// isPeerOutcome reports whether the text is a known outcome of a request that a peer did not answer
// with the machine's answer.
func isPeerOutcome(text string) bool {
	known := []PeerOutcome{
		OutcomeBroken, OutcomeEnded, OutcomeFailed, OutcomeUnreachable, OutcomeRefused, OutcomeBlocked, OutcomeNoPath,
		OutcomeOverloaded, OutcomeDraining, OutcomeUnknown, OutcomeOtherStart,
	}
	return slices.Contains(known, PeerOutcome(text))
}
