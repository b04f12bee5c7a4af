// Package weights defines what valveslip reads from the platform's weight store: its published
// limits and its current state. The engines fetch weights from the store themselves when they load
// a model.
package weights
