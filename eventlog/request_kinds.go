package eventlog

// Kind implements Event.
func (RequestHeld) Kind() string { return "request_held" }

// Meaning implements Documented.
func (RequestHeld) Meaning() string {
	return "Written when a request first waits because another one runs that asks for the same or is of the same caller: requests under which machines ended run one at a time."
}

// Kind implements Event.
func (RequestRefused) Kind() string { return "request_refused" }

// Meaning implements Documented.
func (RequestRefused) Meaning() string {
	return "Written when a request is refused before it is accepted: there is no configuration or no such route, or its body did not come whole."
}

// Kind implements Event.
func (RequestAccepted) Kind() string { return "request_accepted" }

// Meaning implements Documented.
func (RequestAccepted) Meaning() string {
	return "Written when a request has been read and its route is known."
}

// Kind implements Event.
func (RequestSent) Kind() string { return "request_sent" }

// Meaning implements Documented.
func (RequestSent) Meaning() string {
	return "Written for each dispatch."
}

// Kind implements Event.
func (AttemptSilent) Kind() string { return "attempt_silent" }

// Meaning implements Documented.
func (AttemptSilent) Meaning() string {
	return "Written when the machine of a dispatch has sent nothing for longer than is usual, once for each silence. The dispatch goes on unless an attempt_ended follows, by which another machine takes the request."
}

// Kind implements Event.
func (AttemptEnded) Kind() string { return "attempt_ended" }

// Meaning implements Documented.
func (AttemptEnded) Meaning() string {
	return "Written when a dispatch has ended otherwise than by a whole answer."
}

// Kind implements Event.
func (AnswerDiscarded) Kind() string { return "answer_discarded" }

// Meaning implements Documented.
func (AnswerDiscarded) Meaning() string {
	return "Written when an answer of a machine is discarded because it does not belong to the request under way on its connection. The connection is not used again."
}

// Kind implements Event.
func (RequestEnded) Kind() string { return "request_ended" }

// Meaning implements Documented.
func (RequestEnded) Meaning() string {
	return "The one end of a request."
}

// Kind implements Event.
func (CallerStalled) Kind() string { return "caller_stalled" }

// Meaning implements Documented.
func (CallerStalled) Meaning() string {
	return "Written when a caller's connection is ended because nothing more of an answer could be written to it. The request_ended line of a stream has the same code."
}

// Kind implements Event.
func (MachineStartChecked) Kind() string { return "machine_start_checked" }

// Meaning implements Documented.
func (MachineStartChecked) Meaning() string {
	return "Written when a worker was asked which of its starts answers on a connection, before a stream that may be continued is sent on it, or when the start known of the connection is not the one that was meant."
}

// Kind implements Event.
func (AttemptThroughPeer) Kind() string { return "attempt_through_peer" }

// Meaning implements Documented.
func (AttemptThroughPeer) Meaning() string {
	return "Written when an attempt was given to another node because this one suspects its own path to all workers."
}

// Kind implements Event.
func (PeerRequestEnded) Kind() string { return "peer_request_ended" }

// Meaning implements Documented.
func (PeerRequestEnded) Meaning() string {
	return "Written when this node has handled a request that another node, which has lost its path, sends to a worker through it."
}
