// Package document reads JSON documents of the platform over HTTP, conditionally
// where the service gives them an entity tag.
package document
