// Package settings holds the operators' settings tree: inheritance with
// provenance, strict validation, edits and the compiled snapshot that decisions
// read.
package settings
