package weights

import "context"

// Status is the store's published state.
type Status struct {
	// StartsPerSecond and Concurrency are the limits at full speed.
	StartsPerSecond float64
	Concurrency     int
	// Active loads at the moment, over all cells.
	Active int
	// Speed is the current speed as a share of full speed, 0 to 1.
	Speed float64
}

// Store reads the weight store's status.
type Store interface {
	Status(ctx context.Context) (Status, error)
}
