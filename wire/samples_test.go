package wire

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/settings"
)

var (
	sampleNode = cluster.Node{
		ID: "node-a", Zone: "east-1", Region: "east", PeerAddress: "10.0.0.1:7000",
		AdminAddress: "10.0.0.1:7001", CallerAddress: "10.0.0.1:7002",
	}
	sampleStamp = settings.Stamp{History: "history-a", Revision: 42, Digest: 1<<63 + 5}
)

// sampleMessages returns a message of each kind, without a field that has its zero value.
func sampleMessages() map[Kind]Message {
	return map[Kind]Message{
		KindHeartbeat: Heartbeat{
			From: sampleNode, Incarnation: 7, Sequence: 9, Ack: true, Leaving: true, Stamp: sampleStamp,
			Claims: []ControllerClaim{{Zone: "east-1", Node: "node-b", Token: 12}},
			Gossip: []MemberRecord{{Node: sampleNode, Incarnation: 3, State: "suspect"}}, MembersDigest: 1<<63 + 9,
		},
		KindConfigurationRequest: ConfigurationRequest{From: "node-a", FromAddress: "10.0.0.1:7000", Stamp: sampleStamp},
		KindConfigurationEntries: ConfigurationEntries{
			From: "node-a", FromAddress: "10.0.0.1:7000", History: "history-a", After: 41,
			Entries: []ConfigurationEntry{{Revision: 42, Digest: 1<<63 + 5, Data: []byte("edit")}},
		},
		KindConfigurationSnapshot: ConfigurationSnapshot{
			From: "node-a", FromAddress: "10.0.0.1:7000", Stamp: sampleStamp, Data: []byte("tree"),
		},
		KindDemand: Demand{
			From: "node-a", Zone: "east-1", Sequence: 4, Full: true,
			Models: []ModelDemand{{
				Model: "recall", Waiting: 1, Running: 2, Arrivals: 3,
				OldestWait: time.Second, EarliestDeadline: 1500 * time.Millisecond, Objective: 600 * time.Millisecond,
				PromptTokens: 4200,
			}},
			Scopes: []ScopeDemand{{Path: "/dental", Requests: 1.5, Tokens: 200, Concurrency: 2}},
		},
		KindCellStatus: CellStatus{
			Zone: "east-1", Region: "east", From: "node-a", FromAddress: "10.0.0.1:7000",
			Token: 5, Sequence: 6, Full: true,
			Replicas: []ReplicaRecord{{
				Machine: "machine-a", Address: "10.0.1.1:8000", Model: "recall", Version: "3",
				State: cluster.ReplicaLoaded, Slots: 8, Leaving: true, ReadyIn: time.Minute,
			}},
			Loads:    []MachineLoad{{Machine: "machine-a", Running: 1, Queued: 2, Age: time.Second}},
			Shares:   []ScopeShare{{Path: "/dental", Requests: 2, Tokens: 3, Concurrency: 4, ExpiresIn: time.Second}},
			Allotted: []cluster.ModelID{"recall"},
		},
		KindCellStatusRequest: CellStatusRequest{Zone: "east-1", From: "node-a", FromAddress: "10.0.0.1:7000"},
		KindZoneReport: ZoneReport{
			Zone: "east-1", Token: 5, AllotmentRevision: 8,
			Models: []ZoneModelReport{{Model: "recall", Wanted: 2, Held: 1}}, Machines: 3, FreeBytes: 1 << 40,
			Pools: []PoolReport{{Pool: "assistant", Machines: []cluster.MachineID{"machine-a"}}},
		},
		KindInspectionRequest: InspectionRequest{From: "node-a", FromAddress: "10.0.0.1:7000", Number: 1<<63 + 7, Subject: "decisions", Key: "recall"},
		KindInspectionAnswer:  InspectionAnswer{From: "node-a", Number: 1<<63 + 7, Found: true, Data: []byte("[]")},
		KindKeyClaim: KeyClaim{
			From: "node-a", FromAddress: "10.0.0.1:7000", Number: 7, TokenPath: "/dental", Key: "k", Fingerprint: 1<<63 + 1, Request: "node-a.1",
		},
		KindKeyDecision: KeyDecision{From: "node-a", Number: 7, Kind: 4, Owner: "node-b", Outcome: sampleOutcome, RetryAfter: time.Second},
		KindKeyOutcome:  KeyOutcome{From: "node-a", TokenPath: "/dental", Key: "k", Outcome: sampleOutcome},
		KindKeyQuestion: KeyQuestion{
			From: "node-a", FromAddress: "10.0.0.1:7000", Number: 7, TokenPath: "/dental", Key: "k",
			Fingerprint: 1<<63 + 1, Request: "node-a.1", Claimant: "node-d", Round: 9, Record: true,
			Owners: []cluster.NodeID{"node-a", "node-b"}, Known: [][]cluster.NodeID{{"node-a", "node-b"}, {"node-c"}},
		},
		KindKeyAnswer: KeyAnswer{
			From: "node-a", Number: 7, Kind: 3, Outcome: sampleOutcome, Fingerprint: 1<<63 + 1,
			Past: []PastMembership{{Until: 1, Nodes: []cluster.NodeID{"node-b"}}}, Round: 9, Heirs: []KeyHeir{{From: "node-a", Heir: "node-b"}},
		},
		KindKeptAnswerRequest: KeptAnswerRequest{From: "node-a", FromAddress: "10.0.0.1:7000", Number: 7, Request: "node-a.1"},
		KindSentPrefixes: SentPrefixes{
			From: "node-a", Zone: "east-1", Relayed: true,
			Groups: []PrefixGroup{{Machine: "machine-a", Model: "recall", Hashes: []uint64{1<<63 + 3, 4}}},
		},
		KindCacheMoved: CacheMoved{Zone: "east-1", Model: "recall", Machine: "machine-a", Target: "machine-b"},
		KindKeyHandover: KeyHandover{
			From: "node-a", FromAddress: "10.0.0.1:7000", Number: 7, Round: 1<<63 + 2, LostUntil: 5,
			Memberships: []KeyMembership{{Until: 6, Members: []KeyMember{{"node-a", "east-1"}}}},
			Records: []KeyRecord{{
				TokenPath: "/dental", Key: "k", Fingerprint: 1<<63 + 1, Request: "node-a.1", Claimant: "node-d", First: "node-b",
				Round: 9, Outcome: sampleOutcome, Expires: 8, Highest: "node-e", HighestRound: 10,
				Promised: []PastMembership{{Until: 1, Nodes: []cluster.NodeID{"node-b"}}},
			}},
		},
		KindKeyHandoverAnswer:   KeyHandoverAnswer{From: "node-a", Number: 7, Taken: true},
		KindKeyHeir:             KeyHeir{From: "node-a", Heir: "node-b"},
		KindStoreChangesRequest: StoreChangesRequest{From: "node-a", FromAddress: "10.0.0.1:7000", After: 6, Always: true},
		KindStoreChanges: StoreChanges{
			KnowsEras: true, From: "node-a", After: 6, Revision: 8, Age: time.Millisecond, Partial: true,
			Changes: []StoreChange{{Key: "k", Value: []byte("v"), Revision: 7, Deleted: true}},
			Proven:  7, Echo: 11, Lead: -time.Second,
		},
		KindStoreSnapshotRequest: StoreSnapshotRequest{From: "node-a", FromAddress: "10.0.0.1:7000", Capacity: 0.8, Referred: true},
		KindStoreSnapshot:        StoreSnapshot{KnowsEras: true, From: "node-a", Refer: "10.0.0.2:7000", Revision: 8, Age: time.Millisecond, Part: 1, Parts: 2, Content: []byte("packed")},
		KindClockTold:            ClockTold{From: "node-a", Sent: 11},
		KindLenderClaim:          LenderClaim{From: "node-a", FromAddress: "10.0.0.1:7000", Shard: 2, Number: 7, Release: true, Sets: []int64{-3}, First: true, Lends: true},
		KindLenderVote:           LenderVote{From: "node-a", Machine: "machine-a", Shard: 2, Number: 7, Granted: true, Settled: time.Second, Missing: []string{"machine-a"}, MissingFor: time.Second, Young: true},
		KindTokensRequest: TokensRequest{
			From: "node-a", FromAddress: "10.0.0.1:7000", Number: 7, Tenant: "dental", Amount: 1540, Rank: 2, Returned: true,
			Mark: -9, Heeds: time.Second, Again: true,
		},
		KindTokensAnswer: TokensAnswer{
			From: "node-a", Number: 7, Lends: true, Granted: true, Wait: time.Second, Lender: "node-b", LenderAddress: "10.0.0.2:7000",
			Reserved: true, Used: 2700, FirstRank: 1, FirstAmount: 1540,
		},
		KindEngineRequest: EngineRequest{
			From: "node-a", FromAddress: "10.0.0.1:7000", Number: 7, Work: sampleWork,
			Candidates: []EngineCandidate{{Machine: "machine-a", Penalty: time.Millisecond}},
		},
		KindEngineAnswer: EngineAnswer{
			From: "node-a", Number: 7, Machine: "machine-a", Delay: time.Millisecond, Expected: time.Second, Backlog: 2 * time.Millisecond,
			Read: 3 * time.Millisecond, Kept: 2520, Speed: 0.5, Background: true, Fetch: "machine-b",
		},
		KindEngineNews: EngineNews{
			From: "node-a", FromAddress: "10.0.0.1:7000", Full: true,
			Progress: []EngineProgress{{Number: 7, First: time.Second, Ended: true, Read: true}},
			Attempts: []EngineAttempt{{Number: 8, Machine: "machine-a", Sent: time.Second, Began: true, Work: sampleWork}},
		},
		KindPoisonReport: PoisonReport{
			From: "node-a", FromAddress: "10.0.0.1:7000",
			Records: []RequestEnds{{Content: poison.Fingerprint{1, 2}, Ends: []cluster.MachineID{"machine-a"}, Cleared: []cluster.MachineID{"machine-b"}}},
		},
		KindPartReport: PartReport{
			From: "node-a", FromAddress: "10.0.0.1:7000",
			Records: []poison.Record{{
				Content: poison.PartFingerprint(7), Ends: []cluster.MachineID{"machine-a"}, Cleared: []cluster.MachineID{"machine-b"}, Requests: []uint64{1<<63 + 5},
			}},
		},
		KindMachineLimit: MachineLimit{From: "node-a", Machine: "machine-a", Limited: true, PerSecond: 1.5, Brittle: 3, Concurrency: 4, StatedPerSecond: 0.5},
		KindTurnRequest:  TurnRequest{From: "node-a", FromAddress: "10.0.0.1:7000", Number: 7, Machine: "machine-a", PerSecond: 1.5, Slots: 5},
		KindTurnAnswer:   TurnAnswer{From: "node-a", Number: 7, Granted: true, Wait: time.Second},
		KindStreamOrigins: StreamOrigins{
			From: "node-a", FromAddress: "10.0.0.1:7000", Number: 7, Streams: []StreamOrigin{{Request: "r-1", Release: "v1.2", Left: time.Second}},
		},
		KindStreamOriginsReceived: StreamOriginsReceived{From: "node-a", Number: 7},
		KindStreamOriginRequest:   StreamOriginRequest{From: "node-a", FromAddress: "10.0.0.1:7000", Number: 7, Request: "r-1"},
		KindStreamOriginAnswer:    StreamOriginAnswer{From: "node-a", Number: 7, Found: true, Release: "v1.2"},
		KindUnstoredStateRequest:  UnstoredStateRequest{From: "node-a", FromAddress: "10.0.0.1:7000", ConfigurationVersion: 7},
		KindUnstoredState:         UnstoredState{From: "node-a", ConfigurationVersion: 7, Configuration: []byte("{}"), Leaving: []cluster.MachineID{"machine-a"}},
		KindTurnReturned:          TurnReturned{From: "node-a", Number: 7, Machine: "machine-a"},
		KindKeptAnswer:            KeptAnswer{From: "node-a", Number: 7, Found: true, Status: 200, ContentType: "application/json", Body: []byte("{}")},
	}
}

var sampleWork = EngineWork{
	Model: "recall", PromptTokens: 9190, OutputTokens: 52, Prefixes: []PromptPrefix{{Hash: 1<<63 + 3, Tokens: 2520}},
	Rank: 1, Objective: time.Second, Left: 5 * time.Second, LongestPause: 600 * time.Millisecond,
}

var sampleOutcome = KeyOutcomeRecord{Kind: 2, Request: "node-a.1", Holder: "node-c"}

// introducedIn holds the version in which a kind of message was introduced, for kinds that
// VersionOldest lacks.
var introducedIn = map[Kind]int32{
	KindPoisonReport: 5,
	KindClockTold:    6, KindLenderClaim: 6, KindLenderVote: 6, KindTokensRequest: 6, KindTokensAnswer: 6,
	KindEngineRequest: 7, KindEngineAnswer: 7, KindEngineNews: 7,
	KindStoreSnapshotRequest: 8, KindStoreSnapshot: 8,
	KindMachineLimit: 9, KindTurnRequest: 9, KindTurnAnswer: 9,
	KindTurnReturned:  10,
	KindStreamOrigins: 11, KindStreamOriginsReceived: 11, KindStreamOriginRequest: 11, KindStreamOriginAnswer: 11,
	KindPartReport:           11,
	KindUnstoredStateRequest: 13, KindUnstoredState: 13,
}

// asWrittenIn returns a message without the fields that a version lacks.
func asWrittenIn(message Message, version int32) Message {
	if request, ok := message.(StoreChangesRequest); ok && version < 8 {
		request.Always = false
		return request
	}
	if version < 10 {
		message = asWrittenBefore10(message)
	}
	if version < 7 {
		message = asWrittenBefore7(message)
	}
	if snapshot, ok := message.(StoreSnapshot); ok && version < 12 {
		snapshot.KnowsEras = false
		return snapshot
	}
	if changes, ok := message.(StoreChanges); ok && version < 12 {
		changes.KnowsEras = false
		message = changes
	}
	if changes, ok := message.(StoreChanges); ok && version < 6 {
		changes.Proven, changes.Echo, changes.Lead = 0, 0, 0
		return changes
	}
	return message
}

// asWrittenBefore10 returns a message without the fields introduced in version 10: those on brittle
// machines.
func asWrittenBefore10(message Message) Message {
	switch m := message.(type) {
	case MachineLimit:
		m.Brittle, m.Concurrency, m.StatedPerSecond = 0, 0, 0
		return m
	case TurnRequest:
		m.Slots = 0
		return m
	}
	return message
}

// asWrittenBefore7 returns a message without the fields introduced in version 7: the prompt tokens of
// demand, the claims and votes of nodes that have just started, and the reservations of tokens.
func asWrittenBefore7(message Message) Message {
	switch m := message.(type) {
	case Demand:
		m.Models = slices.Clone(m.Models)
		for i := range m.Models {
			m.Models[i].PromptTokens = 0
		}
		return m
	case LenderClaim:
		m.First, m.Lends = false, false
		return m
	case LenderVote:
		m.Young = false
		return m
	case TokensRequest:
		m.Mark, m.Heeds, m.Again = 0, 0, false
		return m
	case TokensAnswer:
		m.Reserved, m.Used, m.FirstRank, m.FirstAmount = false, 0, 0, 0
		return m
	}
	return message
}

// supportedVersions returns all versions that this build reads and writes.
func supportedVersions() []int32 {
	var all []int32
	for version := int32(VersionOldest); version <= VersionCurrent; version++ {
		all = append(all, version)
	}
	return all
}
