// Package passthrough accepts the requests of configured routes and relays them unchanged: method,
// path, query, body and end-to-end header fields go to a machine as they came, and its answer is
// returned as it is. Package routing decides on admission, queueing, the choice of the machine and
// retries, as for the OpenAI API. This package carries out the decisions.
package passthrough
