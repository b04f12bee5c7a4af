// Package document reads JSON documents of the platform over HTTP. It makes
// conditional requests where the service provides entity tags.
package document
