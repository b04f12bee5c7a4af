package shell

import "time"

// BlockSteps keeps the node from taking steps until the returned function is called.
func (n *Node) BlockSteps() (release func()) {
	n.mutex.Lock()
	return n.mutex.Unlock
}

// SchedulingDelay returns the last measured scheduling delay of the process.
func (n *Node) SchedulingDelay() time.Duration { return n.schedulingDelay.Lateness() }
