package eventlog

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"reflect"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of Options and the intervals of the writer.
const (
	DefaultQueueLength = 2048
	// DefaultRate is the maximum number of lines of one kind per second.
	DefaultRate = 400
	// announceInterval is the interval between announcements of dropped lines.
	announceInterval = time.Second
	// batchInterval is how long lines are collected before they are written together.
	// Waking the writer costs more than formatting a line: a small request has three lines
	// and took 76 us of processor time with one wake-up per line, but 9 to 16 us with one
	// wake-up per interval (BenchmarkLogCost). A process that is killed loses the lines of
	// the last interval.
	batchInterval = 10 * time.Millisecond
)

// Options configures a Log; zero fields take the defaults above.
type Options struct {
	QueueLength int
	Rate        int
	// Node is the node's ID, written with every line; empty omits it.
	Node string
}

// Event is one of the events declared in this package: a struct whose fields have their
// key and their description as tags.
type Event interface {
	// Kind returns the name of the event's kind, which is the line's message.
	Kind() string
}

// queuedEvent is an event and the time at which Write was called.
type queuedEvent struct {
	at    time.Time
	event Event
}

// Log writes events as lines. It is safe for concurrent use.
type Log struct {
	handler slog.Handler
	// output buffers lines before they are written to target.
	output      *bufio.Writer
	target      io.Writer
	rate        int
	queueLength int

	mutex sync.Mutex
	kinds map[string]*kindState
	// queue has the events that are not written yet. The first one starts writeTimer.
	queue      []queuedEvent
	writeTimer *time.Timer

	totalDropped atomic.Uint64
	done         chan struct{}
	closing      chan struct{}
	closeOnce    sync.Once
}

// kindState counts the lines of one kind in the current second, and its dropped lines that
// are not announced yet.
type kindState struct {
	second           int64
	linesThisSecond  int
	unannouncedDrops uint64
}

// New returns a log that writes to output until Close.
func New(output io.Writer, options Options) *Log {
	if options.QueueLength == 0 {
		options.QueueLength = DefaultQueueLength
	}
	if options.Rate == 0 {
		options.Rate = DefaultRate
	}
	buffered := bufio.NewWriter(output)
	handler := slog.Handler(slog.NewTextHandler(buffered, nil))
	if options.Node != "" {
		handler = handler.WithAttrs([]slog.Attr{slog.String("node", options.Node)})
	}
	log := &Log{
		handler: handler, output: buffered, target: output, rate: options.Rate, queueLength: options.QueueLength,
		kinds: make(map[string]*kindState), done: make(chan struct{}), closing: make(chan struct{}),
		writeTimer: time.NewTimer(batchInterval),
	}
	go log.writeLoop()
	return log
}

// Write queues an event's line. It drops the line if the queue is full or the kind has
// reached its rate for this second. A nil Log drops every line.
func (l *Log) Write(event Event) {
	if l == nil {
		return
	}
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.kindStateOf(event.Kind()).allowLine(now, l.rate) || len(l.queue) == l.queueLength {
		l.countDropped(event.Kind(), 1)
		return
	}
	l.queue = append(l.queue, queuedEvent{at: now, event: event})
	if len(l.queue) == 1 {
		l.writeTimer.Reset(batchInterval)
	}
}

// kindStateOf returns the state of a kind. The caller must hold the mutex.
func (l *Log) kindStateOf(name string) *kindState {
	state := l.kinds[name]
	if state == nil {
		state = &kindState{}
		l.kinds[name] = state
	}
	return state
}

// allowLine reports whether the kind's rate allows another line in this second, and counts
// the line if so.
func (k *kindState) allowLine(now time.Time, rate int) bool {
	if second := now.Unix(); k.second != second {
		k.second, k.linesThisSecond = second, 0
	}
	if k.linesThisSecond >= rate {
		return false
	}
	k.linesThisSecond++
	return true
}

// Dropped returns the number of all lines dropped so far.
func (l *Log) Dropped() uint64 { return l.totalDropped.Load() }

// Close writes the queued lines and stops the log. It returns after wait at the latest.
func (l *Log) Close(wait time.Duration) {
	if l == nil {
		return
	}
	l.closeOnce.Do(func() { close(l.closing) })
	select {
	case <-l.done:
	case <-time.After(wait):
	}
}

// writeLoop writes queued lines until the log is closed.
func (l *Log) writeLoop() {
	defer close(l.done)
	defer l.writeTimer.Stop()
	announced := time.Now()
	var reusable []queuedEvent
	for closing := false; !closing; {
		select {
		case <-l.writeTimer.C:
		case <-l.closing:
			closing = true
		}
		reusable = l.writeAll(reusable)
		if closing || time.Since(announced) >= announceInterval {
			announced = time.Now()
			l.announceDropped()
		}
	}
}

// flush writes the buffered lines to the output and reports whether that succeeded. Lines
// that the output doesn't accept, for example because the disk is full, are lost. The
// buffer is then reset, because a bufio.Writer returns its first error from every later
// call.
func (l *Log) flush() bool {
	if l.output.Flush() == nil {
		return true
	}
	l.output.Reset(l.target)
	// The last line may be incomplete, so end it; the buffer is empty and has room.
	_ = l.output.WriteByte('\n')
	return false
}

// countDropped counts dropped lines of a kind. The caller must hold the mutex.
func (l *Log) countDropped(kind string, count uint64) {
	l.kindStateOf(kind).unannouncedDrops += count
	l.totalDropped.Add(count)
}

// writeAll writes the queued events and replaces the queue by an empty one. It returns the
// slice that can be reused for the next queue. If the output doesn't accept the whole
// batch, all its lines count as dropped.
func (l *Log) writeAll(reusable []queuedEvent) []queuedEvent {
	l.mutex.Lock()
	batch := l.queue
	l.queue = reusable[:0]
	l.mutex.Unlock()
	for i := range batch {
		l.formatLine(batch[i])
	}
	if len(batch) > 0 && !l.flush() {
		l.mutex.Lock()
		for i := range batch {
			l.countDropped(batch[i].event.Kind(), 1)
		}
		l.mutex.Unlock()
	}
	clear(batch)
	return batch
}

// announceDropped writes the number of dropped lines of each kind since the last
// announcement that the output accepted.
func (l *Log) announceDropped() {
	l.mutex.Lock()
	var drops []LinesDropped
	for kind, state := range l.kinds {
		if state.unannouncedDrops > 0 {
			drops = append(drops, LinesDropped{Lines: kind, Count: state.unannouncedDrops})
		}
	}
	l.mutex.Unlock()
	for _, event := range drops {
		l.formatLine(queuedEvent{at: time.Now(), event: event})
	}
	if len(drops) == 0 || !l.flush() {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, event := range drops {
		l.kindStateOf(event.Lines).unannouncedDrops -= event.Count
	}
}

// formatLine formats one line into the buffer.
func (l *Log) formatLine(queued queuedEvent) {
	record := slog.NewRecord(queued.at, slog.LevelInfo, queued.event.Kind(), 0)
	value := reflect.ValueOf(queued.event)
	for _, field := range fieldsOf(value.Type()) {
		fieldValue := value.Field(field.index)
		if field.omitZero && fieldValue.IsZero() {
			continue
		}
		record.AddAttrs(slog.Any(field.key, renderValue(fieldValue)))
	}
	// An error of the output is returned by flush.
	_ = l.handler.Handle(context.Background(), record)
}

// renderValue converts durations to milliseconds and returns other values unchanged.
func renderValue(value reflect.Value) any {
	if duration, ok := value.Interface().(time.Duration); ok {
		return float64(duration.Round(100*time.Microsecond)) / float64(time.Millisecond)
	}
	return value.Interface()
}
