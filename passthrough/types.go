package passthrough

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
)

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Attributes holds what the header fields of a caller state. A zero value means that the field is
// missing or invalid.
type Attributes struct {
	RequestID cluster.RequestID
	// Deadline is how long the caller waits, counted from the arrival.
	Deadline time.Duration
	// Model is the model of the request, Adapter the adapter of that model, if any.
	Model, Adapter string
	// PromptTokens is the size of the prompt, MaxTokens the bound on generated tokens, and
	// LengthHint the caller's estimate of them.
	PromptTokens, MaxTokens, LengthHint int
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart
	// LastEventID is the event after which a stream is to be resumed.
	LastEventID string
	// Resumes is the caller's request that brought the first event of that stream.
	Resumes cluster.RequestID
	// InvalidFields names the invalid fields.
	InvalidFields []string
}

// sharedParts returns the parts of the prompt that other requests may share: all but the last, which belongs
// to the request or its session.
func (a *Attributes) sharedParts() []PromptPart {
	return a.Parts[:max(len(a.Parts)-1, 0)]
}

// joinParts lists the IDs of parts in the form in which callers state them.
func joinParts(parts []PromptPart) string {
	var text []byte
	for i := range parts {
		if i > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendUint(text, parts[i].ID, 16)
	}
	return string(text)
}

// Forward is what a machine is told in addition to the caller's own fields.
type Forward struct {
	// Machine is the machine that the request is meant for.
	Machine cluster.MachineID
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// Rank is the urgency of the request, 0 being the most urgent.
	Rank int
	// LastEventID is the event after which a stream is resumed.
	LastEventID string
	// Tenant is the name of the caller's tenant, empty without one.
	Tenant string
	// Keyed is true if callers have keys. Machines must not see these.
	Keyed bool
	// FetchAddress is the address of the machine from which this one fetches the cached prefix of
	// the prompt first, empty for none.
	FetchAddress string
}

// AnswerAttributes is what the head of an answer states besides its status.
type AnswerAttributes struct {
	// RequestID is the request that the answer belongs to, empty if it states none.
	RequestID cluster.RequestID
	// Signed is true if the answer has the signature of the machine.
	Signed bool
	// NotRun is true if the machine states that it did not and will not run the request.
	NotRun bool
	// Misdirected is true if the request was meant for another machine, or this machine has not
	// loaded what the request needs.
	Misdirected bool
	// Machine is the machine that answered. It is the one that was asked unless the answer states
	// another name, and empty if the answer states none.
	Machine cluster.MachineID
	// Notice is what the machine states about itself.
	Notice routing.Notice
}

// Dialect maps between header fields and the types of this package, for callers and machines.
type Dialect interface {
	// ReadCaller reads the fields of a caller's request.
	ReadCaller(header http.Header) Attributes
	// PrepareForward sets the fields of a request to a machine.
	PrepareForward(header http.Header, forward Forward)
	// ReadAnswer reads the fields of the answer of the machine that was asked.
	ReadAnswer(asked cluster.MachineID, status int, header http.Header) AnswerAttributes
	// StartRequest returns the request that asks a machine at which time its process started. It is nil if
	// each start of the machine has a name that requests state, so that a later one rejects them.
	StartRequest(machine cluster.MachineID) *http.Request
	// ReadStart returns the start of the machine that answered a StartRequest, empty if the answer names none.
	ReadStart(asked cluster.MachineID, status int, body []byte) cluster.MachineID
}

// connectionFields concern one connection only and are not forwarded.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// endToEnd returns the fields that are forwarded. Their values are shared, not copied.
func endToEnd(header http.Header) http.Header {
	kept := make(http.Header, len(header))
	copyEndToEnd(kept, header)
	return kept
}

// copyEndToEnd copies the fields to forward into to. It keeps the other fields of to.
func copyEndToEnd(to, from http.Header) {
	var named []string
	for _, list := range from["Connection"] {
		for _, name := range splitList(list) {
			named = append(named, http.CanonicalHeaderKey(name))
		}
	}
	for name, values := range from {
		if !slices.Contains(connectionFields, name) && !slices.Contains(named, name) {
			to[name] = values
		}
	}
}
