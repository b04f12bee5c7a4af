// Package machines defines what valveslip needs of the platform's machine list,
// which shows live and leaving machines with a lag.
package machines
