package explain

import (
	"bufio"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of one line.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	At   time.Time
	Node string
	// Kind of the event, as package eventlog names it.
	Kind   string
	fields []field
	// Text is the line from its time on, without any prefix.
	Text string
}

type field struct{ key, value string }

// Get returns the value of a key, empty when the line lacks the key.
func (l *Line) Get(key string) string {
	for _, f := range l.fields {
		if f.key == key {
			return f.value
		}
	}
	return ""
}

// Milliseconds returns the value of a key that holds a duration, zero when the line lacks
// the key.
func (l *Line) Milliseconds(key string) float64 {
	value, err := strconv.ParseFloat(l.Get(key), 64)
	if err != nil {
		return 0
	}
	return value
}

// Log has the lines of all logs, sorted by time.
type Log struct {
	Lines []Line
	// byRequest has the indexes of the lines of each request.
	byRequest map[string][]int
	// sendsByMachine has the indexes of the lines that record a send to each machine.
	sendsByMachine map[string][]int
	// poisonJudgements has, by the fingerprint of a request's content, the indexes of the
	// lines on machines that terminated while they ran it.
	poisonJudgements map[string][]int
}

// Read parses the logs of nodes. Lines without an event, and text before an event on its
// line, are ignored.
func Read(inputs ...io.Reader) (*Log, error) {
	log := &Log{byRequest: make(map[string][]int), sendsByMachine: make(map[string][]int), poisonJudgements: make(map[string][]int)}
	for _, input := range inputs {
		scanner := bufio.NewScanner(input)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for scanner.Scan() {
			if line, ok := parseLine(scanner.Text()); ok {
				log.Lines = append(log.Lines, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(log.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for i := range log.Lines {
		if id := log.Lines[i].Get("request"); id != "" {
			log.byRequest[id] = append(log.byRequest[id], i)
		}
		switch log.Lines[i].Kind {
		case kindRequestSent:
			machine := log.Lines[i].Get("machine")
			log.sendsByMachine[machine] = append(log.sendsByMachine[machine], i)
		case kindPoisonJudged:
			content := log.Lines[i].Get("content")
			log.poisonJudgements[content] = append(log.poisonJudgements[content], i)
		}
	}
	return log, nil
}

// parseLine parses one line of key=value pairs.
func parseLine(text string) (Line, bool) {
	start := strings.Index(text, "time=")
	if start < 0 || !strings.Contains(text, " msg=") {
		return Line{}, false
	}
	line := Line{Text: text[start:]}
	rest := line.Text
	for rest != "" {
		key, after, found := strings.Cut(rest, "=")
		if !found {
			break
		}
		var value string
		value, rest = cutValue(after)
		switch strings.TrimSpace(key) {
		case "time":
			line.At, _ = time.Parse(time.RFC3339Nano, value)
		case "level":
		case "msg":
			line.Kind = value
		case "node":
			line.Node = value
		default:
			line.fields = append(line.fields, field{key: strings.TrimSpace(key), value: value})
		}
	}
	return line, !line.At.IsZero()
}

// cutValue splits a value, quoted or not, from the text after it.
func cutValue(text string) (value, rest string) {
	if strings.HasPrefix(text, `"`) {
		if quoted, err := strconv.QuotedPrefix(text); err == nil {
			value, _ = strconv.Unquote(quoted)
			return value, text[len(quoted):]
		}
	}
	value, rest, _ = strings.Cut(text, " ")
	return value, rest
}
