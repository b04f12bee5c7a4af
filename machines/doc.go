// Package machines defines what valveslip needs from the platform's machine list.
// The list contains live and leaving machines and is updated with a delay.
package machines
