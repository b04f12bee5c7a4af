// Package propertytest runs the tests of a package that has property tests with
// rapid. It sets a fixed seed and disables failure files, so that every run
// gives the same result. Flags given on the command line take precedence.
package propertytest
