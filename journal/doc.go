// Package journal keeps decisions with their reasons in bounded memory and
// answers questions about them.
package journal
