package worker

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/valveslip/valveslip/platform"
)

// slotQueue bounds the requests that run and wait at a worker.
type slotQueue struct {
	running, waiting int
	// room is the number of requests that may wait.
	room int
	// freed is signalled when a slot becomes free.
	freed chan struct{}
	// rejections are the times of the requests that were turned away for want of room in the last
	// rejectionWindow.
	rejections []time.Time
	// brittle is the number of such requests that the worker announces to bear within
	// rejectionWindow; zero announces none. fell is set once it had to turn more away.
	brittle int
	// falls is set once the worker falls by what it turns away, and fell once it did.
	falls, fell bool
}

// rejectionWindow is the time over which a brittle worker counts the requests that it turns away.
const rejectionWindow = time.Second

// AnnounceBrittle makes the worker announce in all its responses that it falls if it has to turn more
// than bearable requests away within a second. Zero ends that.
func (w *Worker) AnnounceBrittle(bearable int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue.brittle = bearable
	if bearable == 0 {
		w.queue.falls, w.queue.room = false, w.config.Queue
	}
}

// BecomeBrittle makes the worker fall as it announced, and let at most room requests wait.
func (w *Worker) BecomeBrittle(room int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue.falls, w.queue.room = w.queue.brittle > 0, room
}

// acquireSlot waits for a slot. It returns false if the request was answered, because there was no room
// to wait, or its caller left.
func (w *Worker) acquireSlot(out http.ResponseWriter, r *http.Request) bool {
	w.mutex.Lock()
	q := &w.queue
	if w.config.Queue == 0 && !q.falls {
		q.running++
		w.mutex.Unlock()
		return true
	}
	if q.running >= w.config.Slots && q.waiting >= q.room {
		fell := q.turnAway(time.Now())
		w.mutex.Unlock()
		out.Header().Set(platform.HeaderNotExecuted, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		if fell && w.OnFall != nil {
			go w.OnFall()
		}
		return false
	}
	q.waiting++
	defer func() { q.waiting--; w.mutex.Unlock() }()
	for q.running >= w.config.Slots && (w.config.Queue > 0 || q.falls) {
		w.mutex.Unlock()
		select {
		case <-q.freed:
			w.mutex.Lock()
		case <-r.Context().Done():
			w.mutex.Lock()
			return false
		}
	}
	q.running++
	return true
}

// turnAway counts a rejection and reports whether the worker falls by it.
func (q *slotQueue) turnAway(now time.Time) bool {
	q.rejections = slices.DeleteFunc(q.rejections, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
	q.rejections = append(q.rejections, now)
	if !q.falls || q.fell || len(q.rejections) <= q.brittle {
		return false
	}
	q.fell = true
	return true
}

// releaseSlot frees a slot.
func (w *Worker) releaseSlot() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue.running--
	select {
	case w.queue.freed <- struct{}{}:
	default:
	}
}

// setBrittleHeader announces that the worker is brittle. The caller holds the mutex.
func (w *Worker) setBrittleHeader(header http.Header) {
	if w.queue.brittle > 0 {
		header.Set(platform.HeaderBrittle, strconv.Itoa(w.queue.brittle))
	}
}

// Recover ends the fall of a worker. Its server must be started again separately.
func (w *Worker) Recover() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queue.fell, w.queue.rejections = false, nil
}
