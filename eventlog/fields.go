package eventlog

import (
	"reflect"
	"strings"
	"sync"
)

// The tags of an event's fields: the key, with the option omitempty, and a
// sentence on the meaning.
const (
	tagKey   = "log"
	tagDoc   = "doc"
	omitZero = "omitempty"
)

// field is one field of an event's struct.
type field struct {
	index    int
	key, doc string
	omitZero bool
}

// known caches the fields of each kind of event.
var known sync.Map

// fieldsOf returns the fields of an event's type in their order.
func fieldsOf(kind reflect.Type) []field {
	if cached, ok := known.Load(kind); ok {
		return cached.([]field)
	}
	var fields []field
	for i := range kind.NumField() {
		key, option, _ := strings.Cut(kind.Field(i).Tag.Get(tagKey), ",")
		fields = append(fields, field{index: i, key: key, doc: kind.Field(i).Tag.Get(tagDoc), omitZero: option == omitZero})
	}
	known.Store(kind, fields)
	return fields
}

// Reference returns the page on all events, in Markdown.
func Reference() string {
	var page strings.Builder
	page.WriteString("# Lines of the log\n\nGenerated from package eventlog. Times are in milliseconds.\n")
	for _, event := range All() {
		page.WriteString("\n## " + event.Kind() + "\n\n" + event.Meaning() + "\n\n| key | meaning |\n|---|---|\n")
		for _, field := range fieldsOf(reflect.TypeOf(event)) {
			page.WriteString("| `" + field.key + "` | " + field.doc + " |\n")
		}
	}
	return page.String()
}
