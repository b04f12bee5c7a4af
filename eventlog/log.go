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

// Defaults of Options.
const (
	DefaultQueueLength = 2048
	// DefaultRate is how many lines of one kind are written a second.
	DefaultRate = 400
	// announceInterval is how often dropped lines are announced.
	announceInterval = time.Second
)

// Options bounds a Log; zero fields take the defaults above.
type Options struct {
	QueueLength int
	Rate        int
	// Node is written with every line.
	Node string
}

// Event is one of the events declared in this package: a struct whose fields
// carry the name of their key and a sentence on their meaning.
type Event interface {
	// Kind names the event; it is the line's message.
	Kind() string
}

// entry is an event with the time it was written.
type entry struct {
	at    time.Time
	event Event
}

// Log writes events. It is safe for concurrent use.
type Log struct {
	queue   chan entry
	handler slog.Handler
	output  *bufio.Writer
	rate    int

	mutex sync.Mutex
	kinds map[string]*kindState

	dropped atomic.Uint64
	done    chan struct{}
	closing chan struct{}
	once    sync.Once
}

// kindState counts one kind's lines in the present second.
type kindState struct {
	second  int64
	lines   int
	dropped uint64
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
		queue: make(chan entry, options.QueueLength), handler: handler, output: buffered, rate: options.Rate,
		kinds: make(map[string]*kindState), done: make(chan struct{}), closing: make(chan struct{}),
	}
	go log.run()
	return log
}

// Write queues an event's line, or drops it when the queue is full or the kind
// had its lines of this second. A nil log drops everything.
func (l *Log) Write(event Event) {
	if l == nil {
		return
	}
	now := time.Now()
	if !l.allow(event.Kind(), now) {
		return
	}
	select {
	case l.queue <- entry{at: now, event: event}:
	default:
		l.drop(event.Kind())
	}
}

// allow counts the line against its kind's rate.
func (l *Log) allow(kind string, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	state := l.kinds[kind]
	if state == nil {
		state = &kindState{}
		l.kinds[kind] = state
	}
	if second := now.Unix(); state.second != second {
		state.second, state.lines = second, 0
	}
	if state.lines >= l.rate {
		state.dropped++
		l.dropped.Add(1)
		return false
	}
	state.lines++
	return true
}

// drop counts a line that found the queue full.
func (l *Log) drop(kind string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.kinds[kind].dropped++
	l.dropped.Add(1)
}

// Dropped counts all lines dropped so far.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }

// Close writes what is queued, waiting for a bounded time, and ends the log.
func (l *Log) Close(wait time.Duration) {
	if l == nil {
		return
	}
	l.once.Do(func() { close(l.closing) })
	select {
	case <-l.done:
	case <-time.After(wait):
	}
}

// run writes lines until the log is closed.
func (l *Log) run() {
	defer close(l.done)
	announced := time.Now()
	for {
		select {
		case next := <-l.queue:
			l.emit(next)
		case <-l.closing:
			l.drain()
			return
		}
		if time.Since(announced) >= announceInterval {
			announced = time.Now()
			l.announce()
		}
		if len(l.queue) == 0 {
			_ = l.output.Flush()
		}
	}
}

// drain writes what is left.
func (l *Log) drain() {
	for {
		select {
		case next := <-l.queue:
			l.emit(next)
		default:
			l.announce()
			_ = l.output.Flush()
			return
		}
	}
}

// announce writes how many lines of each kind were dropped since the last time.
func (l *Log) announce() {
	l.mutex.Lock()
	var lost []LinesDropped
	for kind, state := range l.kinds {
		if state.dropped > 0 {
			lost = append(lost, LinesDropped{Lines: kind, Count: state.dropped})
			state.dropped = 0
		}
	}
	l.mutex.Unlock()
	for _, event := range lost {
		l.emit(entry{at: time.Now(), event: event})
	}
}

// emit writes one line.
func (l *Log) emit(next entry) {
	record := slog.NewRecord(next.at, slog.LevelInfo, next.event.Kind(), 0)
	value := reflect.ValueOf(next.event)
	for _, field := range fieldsOf(value.Type()) {
		part := value.Field(field.index)
		if field.omitZero && part.IsZero() {
			continue
		}
		record.AddAttrs(slog.Any(field.key, render(part)))
	}
	_ = l.handler.Handle(context.Background(), record)
}

// render writes durations in milliseconds and everything else as it is.
func render(part reflect.Value) any {
	if duration, ok := part.Interface().(time.Duration); ok {
		return float64(duration.Round(100*time.Microsecond)) / float64(time.Millisecond)
	}
	return part.Interface()
}
