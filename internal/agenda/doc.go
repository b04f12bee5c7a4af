// Package agenda keeps what is to run at which time of a virtual clock.
package agenda
