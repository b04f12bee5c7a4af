package eventlog

import (
	"reflect"
	"strings"
	"sync"
)

// Struct tags of an event's fields: the key with the option omitempty, and a description
// for the reference page.
const (
	tagKey   = "log"
	tagDoc   = "doc"
	omitZero = "omitempty"
)

// field describes one field of an event's struct.
type field struct {
	index    int
	key, doc string
	omitZero bool
}

// fieldCache has the fields of each event type, by reflect.Type.
var fieldCache sync.Map

// fieldsOf returns the fields of an event type in declaration order.
func fieldsOf(kind reflect.Type) []field {
	if cached, ok := fieldCache.Load(kind); ok {
		return cached.([]field)
	}
	var fields []field
	for i := range kind.NumField() {
		key, option, _ := strings.Cut(kind.Field(i).Tag.Get(tagKey), ",")
		fields = append(fields, field{index: i, key: key, doc: kind.Field(i).Tag.Get(tagDoc), omitZero: option == omitZero})
	}
	fieldCache.Store(kind, fields)
	return fields
}

// Reference returns the reference page of all events, in Markdown.
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
