package wire

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// EngineCandidate is an engine that may run a request.
type EngineCandidate struct {
	Machine cluster.MachineID
	// Penalty is the engine's disadvantage apart from its load, expressed as waiting time.
	Penalty time.Duration
}

// PromptPrefix identifies the beginning of a prompt, which several requests may share, by its hash
// and length.
type PromptPrefix struct {
	Hash   uint64
	Tokens int
}

// EngineWork describes the work of a request for an engine.
type EngineWork struct {
	Model cluster.ModelID
	// PromptTokens is the number of tokens of the whole prompt, OutputTokens the expected
	// number of generated tokens.
	PromptTokens, OutputTokens int
	// Prefixes are prefixes of the prompt, shortest first.
	Prefixes []PromptPrefix
	// Rank is the priority of the request, 0 being the most urgent.
	Rank int
	// Objective is the remaining time in which the answer should begin. Left is the
	// remaining time in which the answer must end.
	Objective, Left time.Duration
	// LongestPause is the longest acceptable time between two events, zero if none is stated.
	LongestPause time.Duration
}

// EngineRequest asks the dispatcher of engines which engine a request is to be sent to, and when.
type EngineRequest struct {
	From        cluster.NodeID
	FromAddress string
	// Number identifies the request in the answer and in later EngineNews.
	Number     int64
	Work       EngineWork
	Candidates []EngineCandidate
}

// EngineAnswer answers an EngineRequest. With an empty Machine the requesting node chooses the
// engine itself.
type EngineAnswer struct {
	From    cluster.NodeID
	Number  int64
	Machine cluster.MachineID
	// Delay is the time until the request is to be sent, Expected the time until its first
	// event. Backlog is the time that the engine needs for the prompts queued before it.
	Delay, Expected, Backlog time.Duration
	// Read is the time that the engine needs to process the request's own prompt. Kept is
	// the number of prompt tokens in the engine's cache. Speed is the engine's speed relative
	// to the usual one.
	Read  time.Duration
	Kept  int
	Speed float64
	// Background is set for a request that would miss its objective anyway and yields to all
	// others at the engine.
	Background bool
	// Fetch is the engine whose cache of the prompt is copied to the chosen engine first,
	// empty for none.
	Fetch cluster.MachineID
}

// EngineAttempt is an attempt that a node has in progress at an engine.
type EngineAttempt struct {
	Number  int64
	Machine cluster.MachineID
	// Sent is the time since the attempt was sent.
	Sent time.Duration
	// Began is set when the answer has begun.
	Began bool
	Work  EngineWork
}

// EngineProgress is the progress of an attempt.
type EngineProgress struct {
	Number int64
	// First is the time from the sending to the first event, zero if there was none.
	First time.Duration
	// Ended is set when the attempt no longer uses the engine. Read is false for an ended
	// attempt that the engine did not run.
	Ended, Read bool
}

// EngineNews informs the dispatcher of engines about the progress of attempts and about attempts
// that it may not know.
type EngineNews struct {
	From        cluster.NodeID
	FromAddress string
	// Full is set when Attempts lists all attempts that the sender has in progress.
	Full     bool
	Progress []EngineProgress
	Attempts []EngineAttempt
}

type promptPrefixRecord struct {
	Hash   int64
	Tokens int
}

type engineWorkRecord struct {
	Model                         cluster.ModelID
	PromptTokens, OutputTokens    int
	Prefixes                      []promptPrefixRecord
	Rank                          int
	Objective, Left, LongestPause time.Duration
}

type engineRequestRecord struct {
	From        cluster.NodeID
	FromAddress string
	Number      int64
	Work        engineWorkRecord
	Candidates  []EngineCandidate
}

type engineAnswerRecord EngineAnswer

type engineAttemptRecord struct {
	Number  int64
	Machine cluster.MachineID
	Sent    time.Duration
	Began   bool
	Work    engineWorkRecord
}

type engineNewsRecord struct {
	From        cluster.NodeID
	FromAddress string
	Full        bool
	Progress    []EngineProgress
	Attempts    []engineAttemptRecord
}

func engineWorkToRecord(w *EngineWork) engineWorkRecord {
	return engineWorkRecord{
		Model: w.Model, PromptTokens: w.PromptTokens, OutputTokens: w.OutputTokens, Rank: w.Rank,
		Objective: w.Objective, Left: w.Left, LongestPause: w.LongestPause,
		Prefixes: mapSlice(w.Prefixes, func(p PromptPrefix) promptPrefixRecord {
			return promptPrefixRecord{Hash: int64(p.Hash), Tokens: p.Tokens}
		}),
	}
}

func (r *engineWorkRecord) work() EngineWork {
	return EngineWork{
		Model: r.Model, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Rank: r.Rank,
		Objective: r.Objective, Left: r.Left, LongestPause: r.LongestPause,
		Prefixes: mapSlice(r.Prefixes, func(p promptPrefixRecord) PromptPrefix {
			return PromptPrefix{Hash: uint64(p.Hash), Tokens: p.Tokens}
		}),
	}
}

func engineRequestToRecord(m EngineRequest) *engineRequestRecord {
	return &engineRequestRecord{
		From: m.From, FromAddress: m.FromAddress, Number: m.Number, Work: engineWorkToRecord(&m.Work), Candidates: m.Candidates,
	}
}

func (r *engineRequestRecord) toMessage() Message {
	return EngineRequest{
		From: r.From, FromAddress: r.FromAddress, Number: r.Number, Work: r.Work.work(),
		Candidates: mapSlice(r.Candidates, func(c EngineCandidate) EngineCandidate { return c }),
	}
}

func (r *engineAnswerRecord) toMessage() Message { return EngineAnswer(*r) }

func engineNewsToRecord(m EngineNews) *engineNewsRecord {
	return &engineNewsRecord{
		From: m.From, FromAddress: m.FromAddress, Full: m.Full, Progress: m.Progress,
		Attempts: mapSlice(m.Attempts, func(a EngineAttempt) engineAttemptRecord {
			return engineAttemptRecord{Number: a.Number, Machine: a.Machine, Sent: a.Sent, Began: a.Began, Work: engineWorkToRecord(&a.Work)}
		}),
	}
}

func (r *engineNewsRecord) toMessage() Message {
	return EngineNews{
		From: r.From, FromAddress: r.FromAddress, Full: r.Full,
		Progress: mapSlice(r.Progress, func(p EngineProgress) EngineProgress { return p }),
		Attempts: mapSlice(r.Attempts, func(a engineAttemptRecord) EngineAttempt {
			return EngineAttempt{Number: a.Number, Machine: a.Machine, Sent: a.Sent, Began: a.Began, Work: a.Work.work()}
		}),
	}
}
