// Package catalog holds the routes, services and engines of a deployment that is
// configured outside the settings tree, and the machines that serve them. A
// configuration compiles to a table of routes and to the same kind of snapshot as
// an edited settings tree, so that routing and placement read a single form.
package catalog
