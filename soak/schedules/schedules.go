package schedules

import (
	"embed"
	"path"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/soak/plan"
)

//go:embed *.yaml
var files embed.FS

// All returns the embedded schedules by file name without extension.
func All() (map[string]plan.Schedule, error) {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil, eris.Wrap(err, "list embedded schedules")
	}
	schedulesByName := make(map[string]plan.Schedule, len(entries))
	for _, entry := range entries {
		text, err := files.ReadFile(entry.Name())
		if err != nil {
			return nil, eris.Wrap(err, "read embedded schedule")
		}
		schedule, err := plan.Parse(text)
		if err != nil {
			return nil, eris.Wrapf(err, "embedded schedule %s", entry.Name())
		}
		schedulesByName[strings.TrimSuffix(entry.Name(), path.Ext(entry.Name()))] = schedule
	}
	return schedulesByName, nil
}
