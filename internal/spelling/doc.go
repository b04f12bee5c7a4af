// Package spelling suggests the known word that is closest to a misspelt one.
package spelling
