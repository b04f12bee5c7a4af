package simulation

// Labels of the events. Their values are part of the event log hash.
const (
	LabelTick Label = iota + 1
	LabelMessage
	LabelArrival
	LabelDispatch
	LabelFirstToken
	LabelAnswer
	LabelEngineCall
	LabelEngineAnswer
	LabelLoadDone
	LabelUnloadDone
	LabelStore
	LabelKeyValueCall
	LabelKeyValueAnswer
	LabelWatch
	LabelLeaseEnd
	LabelMachineList
	LabelFault
	LabelEdit
	LabelPlan
	LabelSample
	LabelCheck
)
