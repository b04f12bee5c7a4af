// Package engine defines what valveslip needs of a model engine and a client
// for it: the OpenAI HTTP API for inference and a small HTTP/JSON control API
// for fenced orders, inventories, reports and cache events.
package engine
