package shell

import "sync"

// pool runs tasks on a bounded number of goroutines that live only while there
// is work. Tasks beyond the workers wait in a bounded queue.
type pool struct {
	mutex   sync.Mutex
	queue   []func()
	limit   int
	workers int
	length  int
	wait    sync.WaitGroup
}

// newPool returns a pool of at most workers goroutines and length waiting tasks.
func newPool(workers, length int) *pool {
	return &pool{limit: workers, length: length}
}

// submit queues a task. It never waits; it returns false when the queue is full.
func (p *pool) submit(task func()) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.workers < p.limit {
		p.workers++
		p.wait.Add(1)
		go p.work(task)
		return true
	}
	if len(p.queue) >= p.length {
		return false
	}
	p.queue = append(p.queue, task)
	return true
}

// work runs a task and then those that wait.
func (p *pool) work(task func()) {
	defer p.wait.Done()
	for task != nil {
		task()
		task = p.next()
	}
}

// next takes the oldest waiting task; without one the worker ends.
func (p *pool) next() func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.queue) == 0 {
		p.workers--
		return nil
	}
	task := p.queue[0]
	p.queue = p.queue[1:]
	return task
}
