package weights

import "context"

// Status is the published state of the weight store.
type Status struct {
	// StartsPerSecond and Concurrency are the limits on loads at full speed.
	StartsPerSecond float64
	Concurrency     int
	// Active is the number of loads in progress, over all cells.
	Active int
	// Speed is the current speed as a share of full speed, from 0 to 1.
	Speed float64
}

// Store reads the status of the weight store.
type Store interface {
	Status(ctx context.Context) (Status, error)
}
