// Package api serves the OpenAI-compatible API for callers. Its package admin serves the
// administration API.
package api
