// Package propertytest runs the tests of a package whose property tests use
// rapid, with a fixed seed and without failure files, so that every run gives
// the same verdict. Flags given on the command line win.
package propertytest
