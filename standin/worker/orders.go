package worker

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/valveslip/valveslip/platform"
)

// TakenOrder is an order that the worker took.
type TakenOrder struct {
	platform.OrderDocument
	At time.Time
	// Load is set when the order loads a whole model, Overfills when it needs more
	// memory than there is.
	Load, Overfills bool
}

// Orders lists the orders that were taken.
func (w *Worker) Orders() []platform.OrderDocument {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	orders := make([]platform.OrderDocument, 0, len(w.orders))
	for i := range w.orders {
		orders = append(orders, w.orders[i].OrderDocument)
	}
	return orders
}

// TakenOrders lists the orders that were taken with their times.
func (w *Worker) TakenOrders() []TakenOrder {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.orders)
}

// DelayOrders has orders wait before they are looked at, whether or not their
// sender still waits for the answer.
func (w *Worker) DelayOrders(delay time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.orderDelay = delay
}

// takeOrder takes an order under its conditions.
func (w *Worker) takeOrder(out http.ResponseWriter, r *http.Request) {
	var order platform.OrderDocument
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	delay := w.orderDelay
	w.mutex.Unlock()
	time.Sleep(delay)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case order.Fence < w.fence && !w.config.Unfenced:
		out.WriteHeader(http.StatusPreconditionFailed)
		return
	case w.busy || order.Expected != w.sequence:
		out.WriteHeader(http.StatusConflict)
		return
	}
	w.fence = max(w.fence, order.Fence)
	w.sequence++
	w.orders = append(w.orders, TakenOrder{
		OrderDocument: order, At: time.Now(), Load: loadsModel(&order), Overfills: w.overfills(&order),
	})
	w.busy = order.Adapter == ""
	out.WriteHeader(http.StatusAccepted)
	go w.carryOut(order)
}

// loadsModel reports whether an order loads a whole model.
func loadsModel(order *platform.OrderDocument) bool {
	return order.Operation == "load" && order.Adapter == ""
}

// overfills reports whether a load needs more memory than there is. One load runs
// at a time.
func (w *Worker) overfills(order *platform.OrderDocument) bool {
	if !loadsModel(order) {
		return false
	}
	sum := w.config.Models[order.Model].Bytes
	for _, held := range w.held {
		if held.Name != order.Model {
			sum += w.config.Models[held.Name].Bytes
		}
	}
	return w.config.MemoryBytes > 0 && sum > w.config.MemoryBytes
}

// carryOut loads or unloads after the load time.
func (w *Worker) carryOut(order platform.OrderDocument) {
	time.Sleep(w.config.LoadTime)
	w.mutex.Lock()
	at := slices.IndexFunc(w.held, func(h platform.HeldModelDocument) bool { return h.Name == order.Model })
	switch {
	case order.Operation == "unload" && order.Adapter == "" && at >= 0:
		w.held = slices.Delete(slices.Clone(w.held), at, at+1)
	case order.Operation == "load" && order.Adapter == "" && at < 0:
		w.held = append(slices.Clone(w.held), platform.HeldModelDocument{Name: order.Model, Version: 1, Adapters: []string{}})
	case order.Operation == "load" && at >= 0:
		w.held = slices.Clone(w.held)
		w.held[at].Adapters = append(slices.Clone(w.held[at].Adapters), order.Adapter)
	}
	if order.Adapter == "" {
		w.busy = false
	}
	w.mutex.Unlock()
	w.publish()
}
