package eventlog

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// The events of requests and their attempts.

// RequestRefused is written when a request is refused before it is accepted: there is no
// configuration or no matching route, or its body is incomplete.
type RequestRefused struct {
	Request cluster.RequestID `log:"request,omitempty" doc:"request id, if the caller named one"`
	Status  int               `log:"status" doc:"status that the caller got"`
	Code    string            `log:"code" doc:"class of the failure"`
	Cause   string            `log:"cause" doc:"the failure in words"`
}

// RequestAccepted is written when a request has been read and its route is known.
type RequestAccepted struct {
	Request  cluster.RequestID `log:"request" doc:"request id"`
	Route    string            `log:"route" doc:"route that was found"`
	Version  int64             `log:"config" doc:"version of the configuration that decided"`
	Work     cluster.ModelID   `log:"work" doc:"service, model and adapter"`
	Left     time.Duration     `log:"left_ms" doc:"time until the request must have ended"`
	Attempts int               `log:"attempts" doc:"machines that it may be sent to"`
	Unread   string            `log:"unread,omitempty" doc:"header fields that can't be read and count as not stated"`
	Content  string            `log:"content,omitempty" doc:"fingerprint of what the request asks for, the same for one that comes again; missing for long bodies"`
	Tenant   string            `log:"tenant,omitempty" doc:"tenant that holds the caller's key"`
	Tokens   int               `log:"tokens,omitempty" doc:"tokens that it states, of its prompt and at most generated"`
	Prompt   int               `log:"prompt_tokens,omitempty" doc:"tokens that it states of its prompt"`
	Longest  time.Duration     `log:"longest_pause_ms,omitempty" doc:"longest time between two events of the stream that is in time"`
	Parts    string            `log:"parts,omitempty" doc:"parts of its prompt that other requests may share, in order"`
	Resumes  cluster.RequestID `log:"resumes,omitempty" doc:"request that brought the first event of the stream that it continues"`
}

// RequestHeld is written when a request first waits because a similar one runs and requests under
// which machines ended run one at a time.
type RequestHeld struct {
	Request cluster.RequestID `log:"request" doc:"request id"`
	Behind  cluster.RequestID `log:"behind" doc:"id of the request that runs"`
	Content string            `log:"content" doc:"fingerprint of what the request asks for"`
}

// RequestSent is written for each attempt, when the request is sent to a machine.
type RequestSent struct {
	Request    cluster.RequestID `log:"request" doc:"request id"`
	Attempt    cluster.Attempt   `log:"attempt" doc:"number of the dispatch, from 1"`
	Machine    cluster.MachineID `log:"machine" doc:"machine it is sent to"`
	Release    string            `log:"release,omitempty" doc:"version of the machine's software"`
	Pinned     bool              `log:"pinned,omitempty" doc:"whether its stream began at that version, so that no other may run it"`
	Waited     time.Duration     `log:"waited_ms" doc:"time in the queue so far"`
	Expected   time.Duration     `log:"expected_ms" doc:"expected wait at the machine"`
	InFlight   int               `log:"in_flight" doc:"requests of this node at the machine"`
	Compared   int               `log:"compared" doc:"machines that were compared"`
	By         cluster.NodeID    `log:"dispatcher,omitempty" doc:"node that chose the machine for all nodes; missing where this one did"`
	Held       time.Duration     `log:"held_ms,omitempty" doc:"time until the dispatcher had answered and its time for the request had come"`
	Read       time.Duration     `log:"read_ms,omitempty" doc:"time for which the machine is expected to read the prompt"`
	Kept       int               `log:"kept,omitempty" doc:"tokens of the prompt that the machine is expected to keep"`
	Speed      float64           `log:"speed,omitempty" doc:"speed of the machine against the usual one, as learned"`
	Foreseen   time.Duration     `log:"foreseen_ms,omitempty" doc:"expected time from the send to the first event"`
	Fetch      cluster.MachineID `log:"fetch,omitempty" doc:"machine from which it first takes what it is to keep of the prompt"`
	Background bool              `log:"background,omitempty" doc:"whether it gives way to all others at the machine, since it would be late anyway"`
	After      string            `log:"after,omitempty" doc:"event after which a stream is continued"`
	Probe      bool              `log:"probe,omitempty" doc:"whether it is a blocked request that is sent once more as a probe"`
}

// MachineStartChecked is written when a machine was asked which of its starts answers on a connection, before a
// stream is sent on it, or when the start known of the connection is not the one that was meant.
type MachineStartChecked struct {
	Request   cluster.RequestID `log:"request" doc:"request id"`
	Attempt   cluster.Attempt   `log:"attempt" doc:"number of the dispatch"`
	Machine   cluster.MachineID `log:"machine" doc:"start of the machine that is meant"`
	Found     cluster.MachineID `log:"found,omitempty" doc:"start that answers"`
	Outcome   string            `log:"outcome" doc:"confirmed: the start that is meant answers; other: another one; unstated: the machine answered without saying; unanswered: no answer, nothing was sent"`
	Questions int               `log:"questions" doc:"connections on which the machine was asked, 0 where it was known"`
	Fresh     bool              `log:"fresh" doc:"whether the last of them was opened for this attempt"`
	Took      time.Duration     `log:"took_ms" doc:"how long that was"`
	Cause     string            `log:"cause,omitempty" doc:"why there was no answer"`
}

// AttemptEnded is written when an attempt has ended without a complete answer.
type AttemptEnded struct {
	Request cluster.RequestID `log:"request" doc:"request id"`
	Attempt cluster.Attempt   `log:"attempt" doc:"number of the dispatch"`
	Machine cluster.MachineID `log:"machine" doc:"machine it was sent to"`
	Code    string            `log:"code" doc:"class of the failure"`
	Verdict string            `log:"verdict" doc:"whether the request may have run there"`
	Status  int               `log:"status,omitempty" doc:"status that the machine answered"`
	Took    time.Duration     `log:"took_ms" doc:"time since the dispatch"`
	Content string            `log:"content,omitempty" doc:"fingerprint of what the request asks for, where the machine broke the connection"`
	Rest    time.Duration     `log:"rest_ms,omitempty" doc:"for how long the machine said that it wants nothing more from this node"`
	Doubted bool              `log:"path_doubted,omitempty" doc:"whether this node doubts its own path, so that nothing is held against the machine"`
	Named   string            `log:"named,omitempty" doc:"which request the last answer names: own, other, none"`
	Carried int               `log:"carried,omitempty" doc:"exchanges that the connection had carried before"`
	Resent  bool              `log:"resent,omitempty" doc:"whether the connection had carried this request before"`
	Cause   string            `log:"cause,omitempty" doc:"the error"`
}

// AttemptSilent is written when the machine of an attempt has sent nothing for longer than
// usual, once for each such period. The attempt continues unless attempt_ended follows,
// after which the request is sent to another machine.
type AttemptSilent struct {
	Request cluster.RequestID `log:"request" doc:"request id"`
	Attempt cluster.Attempt   `log:"attempt" doc:"number of the dispatch"`
	Machine cluster.MachineID `log:"machine" doc:"machine it was sent to"`
	Silent  time.Duration     `log:"silent_ms" doc:"for how long nothing came"`
}

// AttemptThroughPeer is written when an attempt was given to another node because this one suspects
// its own path to all workers.
type AttemptThroughPeer struct {
	Request cluster.RequestID `log:"request" doc:"request id"`
	Attempt cluster.Attempt   `log:"attempt" doc:"number of the dispatch"`
	Machine cluster.MachineID `log:"machine" doc:"worker that it is for"`
	Peer    cluster.NodeID    `log:"peer" doc:"node that was asked to send it"`
	Outcome string            `log:"outcome" doc:"complete: the worker's answer was read (attempt_ended tells more if it was no success); broken, ended, failed: sent, without a complete answer; disconnected: the connection to the peer ended before an answer, so that the request may have been sent; unreachable, refused, blocked, other-start: not sent, because of the worker; no-path, overloaded, draining, ends-earlier (the peer is stopping and may end before the request), unknown-machine, no-answer, unsupported: not sent, and the next node is asked. After disconnected, no-answer, draining and unsupported the peer is not asked for 2 s, if it is absent again for 4 s; after no-path for 1 s, after overloaded for 0.25 s"`
}

// PeerRequestEnded is written when this node has handled a request that another node sends to a worker
// through it.
type PeerRequestEnded struct {
	Request cluster.RequestID `log:"request" doc:"request id"`
	From    cluster.NodeID    `log:"from" doc:"node that took the request from its caller"`
	Machine cluster.MachineID `log:"machine" doc:"worker that it is for"`
	Outcome string            `log:"outcome" doc:"as in attempt_through_peer"`
	Status  int               `log:"status,omitempty" doc:"status that the machine answered"`
	Took    time.Duration     `log:"took_ms" doc:"time since it arrived here"`
	Named   string            `log:"named,omitempty" doc:"which request the last answer names: own, other, none"`
	Carried int               `log:"carried,omitempty" doc:"exchanges that the connection to the worker had carried before"`
	Resent  bool              `log:"resent,omitempty" doc:"whether that connection had carried this request before"`
}

// AnswerDiscarded is written when an answer of a machine arrived that does not belong to the request under way on
// its connection.
type AnswerDiscarded struct {
	Request cluster.RequestID `log:"request" doc:"request under way on the connection"`
	Machine cluster.MachineID `log:"machine" doc:"machine that answered"`
	Status  int               `log:"status" doc:"status of the answer"`
	Named   string            `log:"named" doc:"which request the answer names: own, other, none"`
	NotRun  bool              `log:"not_run,omitempty" doc:"whether the answer states that a request was not run"`
	Carried int               `log:"carried,omitempty" doc:"exchanges that the connection had carried before"`
	Resent  bool              `log:"resent,omitempty" doc:"whether the connection had carried this request before"`
}

// RequestEnded is written exactly once for each accepted request, when it ends.
type RequestEnded struct {
	Request  cluster.RequestID `log:"request" doc:"request id"`
	Status   int               `log:"status" doc:"status that the caller got, 0 without one"`
	Code     string            `log:"code" doc:"served, or the class of the failure"`
	Verdict  string            `log:"verdict" doc:"whether the request may have run"`
	Machine  cluster.MachineID `log:"machine,omitempty" doc:"last machine"`
	Attempts int               `log:"attempts" doc:"dispatches"`
	Took     time.Duration     `log:"took_ms" doc:"time since the request was read"`
	Waited   time.Duration     `log:"waited_ms" doc:"time in the queue"`
	First    time.Duration     `log:"first_ms" doc:"time to the first byte of the answer"`
	Pause    time.Duration     `log:"pause_ms,omitempty" doc:"longest time between two events of a stream"`
	PauseEnd time.Duration     `log:"pause_end_ms,omitempty" doc:"when that pause ended, since the request was read"`
	Back     time.Duration     `log:"retry_after_ms,omitempty" doc:"when the caller was told to come back"`
	Setting  string            `log:"setting,omitempty" doc:"bound that decided"`
	Cause    string            `log:"cause,omitempty" doc:"the failure in words"`
	Untaken  string            `log:"untaken,omitempty" doc:"why a whole answer of a machine did not reach the caller"`
	Limit    float64           `log:"limit,omitempty" doc:"requests a second that the last machine said it takes of all nodes together"`
	Leaving  bool              `log:"leaving,omitempty" doc:"whether the last machine said that it leaves"`
}

// CallerStalled is written when a caller's connection is closed because no more of an
// answer could be written to it.
type CallerStalled struct {
	Caller  string        `log:"caller" doc:"address of the caller"`
	Waiting int64         `log:"waiting_bytes" doc:"bytes that the caller did not take, those in the kernel included"`
	For     time.Duration `log:"for_ms" doc:"for how long nothing could be written"`
	Full    bool          `log:"full" doc:"whether it was ended sooner because the node keeps too many bytes"`
	Kept    int64         `log:"kept_bytes" doc:"bytes that the node kept for all requests and answers then"`
}
