package worker

import (
	"encoding/json"
	"net/http"

	"github.com/valveslip/valveslip/platform"
)

// Reporting is how a worker answers requests for its report.
type Reporting uint8

// The ways to answer requests for a report.
const (
	// ReportKept answers with the report and keeps the connection.
	ReportKept Reporting = iota
	// ReportClosed closes the connection after the report.
	ReportClosed
	// ReportMissing answers 404.
	ReportMissing
	// ReportHangs sends nothing until the caller disconnects.
	ReportHangs
)

// StartAgain turns the worker into a later start of itself, which has another software version and knows nothing
// of the earlier one but the models that each start holds. The caller ends the connections of the earlier start
// and publishes the entry.
func (w *Worker) StartAgain(release string, startMillis int64) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.config.Release, w.config.StartMillis = release, startMillis
	w.draining, w.leaving, w.busy = false, false, false
	w.sequence, w.highestFence = 0, 0
	w.loadedModels = w.heldAtStart()
}

// heldAtStart returns the models that each start of the worker holds.
func (w *Worker) heldAtStart() []platform.HeldModelDocument {
	var held []platform.HeldModelDocument
	for _, name := range w.config.Held {
		held = append(held, platform.HeldModelDocument{Name: name, Version: 1, Adapters: []string{}})
	}
	return held
}

// Reports returns the number of requests for the report.
func (w *Worker) Reports() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.reports
}

// serveReport answers with the loaded models and the state of the orders.
func (w *Worker) serveReport(out http.ResponseWriter, r *http.Request) {
	switch w.config.Reporting {
	case ReportMissing:
		http.NotFound(out, r)
		return
	case ReportHangs:
		<-r.Context().Done()
		return
	case ReportClosed:
		out.Header().Set("Connection", "close")
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.reports++
	_ = json.NewEncoder(out).Encode(platform.ReportDocument{Models: w.loadedModels, Busy: w.busy, Sequence: w.sequence, Born: w.startTimeMillis()})
}
