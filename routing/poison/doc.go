// Package poison recognizes requests that end the machines which run them: poison
// requests, also called queries of death. A request is known by what it asks for, not by
// its identifier, because it comes again under another one and at any node.
package poison
