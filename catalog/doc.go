// Package catalog holds a deployment's routes, services and engines as they are
// configured outside of the settings tree, and the machines that serve them. A
// configuration compiles to a table of routes and to the same kind of snapshot
// that an edited settings tree compiles to, so that all decisions read one form.
package catalog
