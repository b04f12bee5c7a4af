package shell

import "sync"

// workerPool runs tasks on a bounded number of goroutines, which exit when there is no
// work. Tasks beyond the number of workers wait in a bounded queue.
type workerPool struct {
	mutex      sync.Mutex
	queue      []func()
	maxWorkers int
	workers    int
	maxQueued  int
	running    sync.WaitGroup
}

// newWorkerPool returns a pool with at most workers goroutines and maxQueued waiting
// tasks.
func newWorkerPool(workers, maxQueued int) *workerPool {
	return &workerPool{maxWorkers: workers, maxQueued: maxQueued}
}

// submit starts or queues a task without blocking. It returns false if the queue is
// full.
func (p *workerPool) submit(task func()) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.workers < p.maxWorkers {
		p.workers++
		p.running.Add(1)
		go p.runTasks(task)
		return true
	}
	if len(p.queue) >= p.maxQueued {
		return false
	}
	p.queue = append(p.queue, task)
	return true
}

// runTasks runs a task and then queued tasks until none is left.
func (p *workerPool) runTasks(task func()) {
	defer p.running.Done()
	for task != nil {
		task()
		task = p.nextTask()
	}
}

// nextTask removes and returns the oldest queued task. Without one it returns nil and
// counts the worker as ended.
func (p *workerPool) nextTask() func() {
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
