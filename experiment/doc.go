// Package experiment describes scenarios, drives load, and reports
// measurements.
package experiment
