package shell

import "time"

// HoldSteps keeps the node from taking steps until the returned function is called.
func (n *Node) HoldSteps() (release func()) {
	n.mutex.Lock()
	return n.mutex.Unlock
}

// Late is how late the node works.
func (n *Node) Late() time.Duration { return n.schedulingDelay.Late() }
