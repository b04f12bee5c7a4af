// Package passthrough takes requests of configured routes from callers and
// relays them unchanged: method, path, query, body and end-to-end header fields
// go to a machine as they came, and its answer comes back as it is. Admission,
// waiting, choice and repetition are decided by package routing, as for the
// OpenAI API; this package carries the decisions out.
package passthrough
