package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	standin "github.com/valveslip/valveslip/standin/engine"
)

// RunsOfEngines returns a function for Config.Runs that sums the execution counts of the engine
// stand-ins at the given base URLs. An engine process that was restarted has lost its earlier
// counts.
func RunsOfEngines(engines []string) func(context.Context, []uint64) ([]int, error) {
	return func(ctx context.Context, seeds []uint64) ([]int, error) {
		sums := make([]int, len(seeds))
		for _, engine := range engines {
			counts, err := fetchEngineRuns(ctx, engine, seeds)
			if err != nil {
				return nil, err
			}
			for i := range min(len(sums), len(counts)) {
				sums[i] += counts[i]
			}
		}
		return sums, nil
	}
}

// fetchEngineRuns returns the execution counts of one engine.
func fetchEngineRuns(ctx context.Context, engine string, seeds []uint64) ([]int, error) {
	body, err := json.Marshal(seeds)
	if err != nil {
		return nil, eris.Wrap(err, "encode the seeds")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, engine+standin.PathRuns, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build the request for execution counts")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "fetch the execution counts of engine %s", engine)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return nil, eris.Errorf("engine %s answered the request for execution counts with status %d", engine, answer.StatusCode)
	}
	var counts []int
	err = json.NewDecoder(answer.Body).Decode(&counts)
	return counts, eris.Wrapf(err, "decode the execution counts of engine %s", engine)
}
