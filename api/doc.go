// Package api serves the callers' OpenAI-compatible API and the
// administration API.
package api
