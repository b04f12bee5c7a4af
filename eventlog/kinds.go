package eventlog

// Kinds of all events and their descriptions in the reference page.

// Kind implements Event.
func (NodeStarted) Kind() string { return "node_started" }

// Meaning implements Documented.
func (NodeStarted) Meaning() string {
	return "Written once at start."
}

// Kind implements Event.
func (StartStage) Kind() string { return "start_stage" }

// Meaning implements Documented.
func (StartStage) Meaning() string {
	return "Written when a node that has just started has come that far; configuration_in_force, keys_judged, nodes_changed and lending_changed tell of the stages between."
}

// Kind implements Event.
func (PoisonJudged) Kind() string { return "poison_judged" }

// Meaning implements Documented.
func (PoisonJudged) Meaning() string {
	return "Written when this node learns something new of a request that was at machines when they ended, from its own attempts or by adding up what nodes told."
}

// Kind implements Event.
func (PoisonProbe) Kind() string { return "poison_probe" }

// Meaning implements Documented.
func (PoisonProbe) Meaning() string {
	return "Written when this node asks the store whether it may send a request that all nodes refuse once more, when it may, and when the machine of that try is silent."
}

// Kind implements Event.
func (ReleasesChanged) Kind() string { return "releases_changed" }

// Meaning implements Documented.
func (ReleasesChanged) Meaning() string {
	return "Written when the software releases change at which streams of a service may have begun that can still be resumed."
}

// Kind implements Event.
func (ReleasesRecorded) Kind() string { return "releases_recorded" }

// Meaning implements Documented.
func (ReleasesRecorded) Meaning() string {
	return "Written when this node writes the record of the releases at which streams may have begun: resumable streams begin only at those that it lists."
}

// Kind implements Event.
func (StreamResumed) Kind() string { return "stream_resumed" }

// Meaning implements Documented.
func (StreamResumed) Meaning() string {
	return "Written when a caller resumes a stream: the release at which it goes on and how this node knows, or that it is refused."
}

// Kind implements Event.
func (NodeStopping) Kind() string { return "node_stopping" }

// Meaning implements Documented.
func (NodeStopping) Meaning() string {
	return "Written when a planned stop begins."
}

// Kind implements Event.
func (NodeStopped) Kind() string { return "node_stopped" }

// Meaning implements Documented.
func (NodeStopped) Meaning() string {
	return "The last line of a planned stop."
}

// Kind implements Event.
func (SettingsRead) Kind() string { return "settings_read" }

// Meaning implements Documented.
func (SettingsRead) Meaning() string {
	return "Written at start and at each reload."
}

// Kind implements Event.
func (PauseNoticed) Kind() string { return "pause_noticed" }

// Meaning implements Documented.
func (PauseNoticed) Meaning() string {
	return "Written when the process finds that it stood still."
}

// Kind implements Event.
func (ConfigurationInForce) Kind() string { return "configuration_in_force" }

// Meaning implements Documented.
func (ConfigurationInForce) Meaning() string {
	return "Written when a configuration was put in force."
}

// Kind implements Event.
func (ConfigurationRejected) Kind() string { return "configuration_rejected" }

// Meaning implements Documented.
func (ConfigurationRejected) Meaning() string {
	return "Written when a configuration can't be put in force; the one before it stays."
}

// Kind implements Event.
func (WorkerChanged) Kind() string { return "worker_changed" }

// Meaning implements Documented.
func (WorkerChanged) Meaning() string {
	return "Written when a worker's entry is new or says something new."
}

// Kind implements Event.
func (WorkerUnreadable) Kind() string { return "worker_unreadable" }

// Meaning implements Documented.
func (WorkerUnreadable) Meaning() string {
	return "Written when a worker's entry can't be read, once for each cause until it can be or everything is read anew."
}

// Kind implements Event.
func (WorkerRestarted) Kind() string { return "worker_restarted" }

// Meaning implements Documented.
func (WorkerRestarted) Meaning() string {
	return "Written when a worker's entry is that of a later start under the same id."
}

// Kind implements Event.
func (MachineStartUnlisted) Kind() string { return "machine_start_unlisted" }

// Meaning implements Documented.
func (MachineStartUnlisted) Meaning() string {
	return "Written when a start of a worker answers for the first time whose entry is not read yet. Until then its version counts as one of its own, and worker_restarted follows."
}

// Kind implements Event.
func (WorkerLeaving) Kind() string { return "worker_leaving" }

// Meaning implements Documented.
func (WorkerLeaving) Meaning() string {
	return "Written when an answer is the first to say that its worker leaves."
}

// Kind implements Event.
func (WorkerRests) Kind() string { return "worker_rests" }

// Meaning implements Documented.
func (WorkerRests) Meaning() string {
	return "Written when a worker that turned a request away wants nothing from this node for a time."
}

// Kind implements Event.
func (WorkerLimited) Kind() string { return "worker_limited" }

// Meaning implements Documented.
func (WorkerLimited) Meaning() string {
	return "Written when a worker names how many requests a second it takes from all nodes together, names another number, or no longer does."
}

// Kind implements Event.
func (TurnDecided) Kind() string { return "turn_decided" }

// Meaning implements Documented.
func (TurnDecided) Meaning() string {
	return "Written when this node was given, or not given, a turn to send a worker with a limit a request."
}

// Kind implements Event.
func (WorkerGone) Kind() string { return "worker_gone" }

// Meaning implements Documented.
func (WorkerGone) Meaning() string {
	return "Written when a worker's entry is gone, or another worker answers at its address."
}

// Kind implements Event.
func (NodesChanged) Kind() string { return "nodes_changed" }

// Meaning implements Documented.
func (NodesChanged) Meaning() string {
	return "Written when the number of live nodes changed."
}

// Kind implements Event.
func (FeedChanged) Kind() string { return "feed_changed" }

// Meaning implements Documented.
func (FeedChanged) Meaning() string {
	return "Written when the node learns of the store's changes from elsewhere."
}

// Kind implements Event.
func (StarterChosen) Kind() string { return "starter_chosen" }

// Meaning implements Documented.
func (StarterChosen) Meaning() string {
	return "Written when a node that starts claims to read everything for its zone."
}

// Kind implements Event.
func (SnapshotTaken) Kind() string { return "snapshot_taken" }

// Meaning implements Documented.
func (SnapshotTaken) Meaning() string {
	return "Written when a node that starts has learned everything from another one."
}

// Kind implements Event.
func (KnowledgeOld) Kind() string { return "knowledge_old" }

// Meaning implements Documented.
func (KnowledgeOld) Meaning() string {
	return "Written when what the node knows of the store becomes old: configuration, workers and nodes."
}

// Kind implements Event.
func (KnowledgeNew) Kind() string { return "knowledge_new" }

// Meaning implements Documented.
func (KnowledgeNew) Meaning() string {
	return "Written when what the node knows of the store is new again."
}

// Kind implements Event.
func (StoreCalls) Kind() string { return "store_calls" }

// Meaning implements Documented.
func (StoreCalls) Meaning() string {
	return "Written for a span in which the node called the store."
}

// Kind implements Event.
func (StoreCallSlow) Kind() string { return "store_call_slow" }

// Meaning implements Documented.
func (StoreCallSlow) Meaning() string {
	return "Written when a call to the store by which a node follows it took long."
}

// Kind implements Event.
func (CallFailed) Kind() string { return "call_failed" }

// Meaning implements Documented.
func (CallFailed) Meaning() string {
	return "Written when a call for one of the node's records in the store, or for a worker's report, failed: once for each cause until such a call succeeds."
}

// Kind implements Event.
func (KeysJudged) Kind() string { return "keys_judged" }

// Meaning implements Documented.
func (KeysJudged) Meaning() string {
	return "Written when this node begins or ends to hold that it knows callers' keys well enough to serve those that need one."
}

// Kind implements Event.
func (KeyUndecided) Kind() string { return "key_undecided" }

// Meaning implements Documented.
func (KeyUndecided) Meaning() string {
	return "Written when a caller is sent back because its key is not known and this node knows too little to say that there is none."
}

// Kind implements Event.
func (DispatcherChanged) Kind() string { return "dispatcher_changed" }

// Meaning implements Documented.
func (DispatcherChanged) Meaning() string {
	return "Written when another node is asked at which engines requests are read."
}

// Kind implements Event.
func (LendingChanged) Kind() string { return "lending_changed" }

// Meaning implements Documented.
func (LendingChanged) Meaning() string {
	return "Written when this node begins or ends to lend the tokens of a shard's tenants."
}

// Kind implements Event.
func (RecordUnreadable) Kind() string { return "record_unreadable" }

// Meaning implements Documented.
func (RecordUnreadable) Meaning() string {
	return "Written when a record of the nodes in the store can't be read and is passed over."
}

// Kind implements Event.
func (DependencyLost) Kind() string { return "dependency_lost" }

// Meaning implements Documented.
func (DependencyLost) Meaning() string {
	return "Written when the store or the controller can't be reached, and when the cause is another one than before."
}

// Kind implements Event.
func (DependencyBack) Kind() string { return "dependency_back" }

// Meaning implements Documented.
func (DependencyBack) Meaning() string {
	return "Written when it can be reached again."
}

// Kind implements Event.
func (StoreReadDropped) Kind() string { return "store_read_dropped" }

// Meaning implements Documented.
func (StoreReadDropped) Meaning() string {
	return "Written when a full read of the store is dropped because it is older than what this node knows."
}

// Kind implements Event.
func (StoreRestored) Kind() string { return "store_restored" }

// Meaning implements Documented.
func (StoreRestored) Meaning() string {
	return "Written when this node goes on from the content of a store that came back from a copy, read by itself or by another node."
}

// Kind implements Event.
func (StoreEraChanged) Kind() string { return "store_era_changed" }

// Meaning implements Documented.
func (StoreEraChanged) Meaning() string {
	return "Written when the store states another era than before: it came back from a copy, and what was written since that copy is gone."
}

// Kind implements Event.
func (LeaseChanged) Kind() string { return "lease_changed" }

// Meaning implements Documented.
func (LeaseChanged) Meaning() string {
	return "Written when the holder of the cell's lease changed, as far as this node knows."
}

// Kind implements Event.
func (OrderPlanned) Kind() string { return "order_planned" }

// Meaning implements Documented.
func (OrderPlanned) Meaning() string {
	return "Written when the placement decided on an order."
}

// Kind implements Event.
func (StoreCapacityLearned) Kind() string { return "store_capacity_learned" }

// Meaning implements Documented.
func (StoreCapacityLearned) Meaning() string {
	return "Written when the holder of the lease changes how many loads from the weight store may be under way at once."
}

// Kind implements Event.
func (LoadDelayed) Kind() string { return "load_delayed" }

// Meaning implements Documented.
func (LoadDelayed) Meaning() string {
	return "Written when requests wait for a model and the plan gives no order for it, once for each cause."
}

// Kind implements Event.
func (OrderAnswered) Kind() string { return "order_answered" }

// Meaning implements Documented.
func (OrderAnswered) Meaning() string {
	return "Written for each answer to an order, and when there is none."
}

// Kind implements Event.
func (ReplicaChanged) Kind() string { return "replica_changed" }

// Meaning implements Documented.
func (ReplicaChanged) Meaning() string {
	return "Written when the holder learns that a load or unload is done."
}

// Kind implements Event.
func (LinesDropped) Kind() string { return "lines_dropped" }

// Meaning implements Documented.
func (LinesDropped) Meaning() string {
	return "Written when lines were dropped."
}

// Kind implements Event.
func (MachinePathChanged) Kind() string { return "worker_path_changed" }

// Meaning implements Documented.
func (MachinePathChanged) Meaning() string {
	return "Written when this node starts or ceases to believe that it has lost its own path to the workers, which says nothing about the workers."
}
