package simulation

// The labels of events.
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
