// Package engine defines the interface of valveslip to model engines, and a client for it: the
// OpenAI HTTP API for inference, and a small HTTP/JSON control API for fenced orders, inventories,
// reports and cache events.
package engine
