package worker

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/valveslip/valveslip/platform"
)

// AcceptedOrder is an order that the worker accepted at the time At.
type AcceptedOrder struct {
	platform.OrderDocument
	At time.Time
	// Load is set if the order loads a model rather than an adapter, ExceedsMemory if
	// that load exceeds the worker's memory.
	Load, ExceedsMemory bool
}

// Orders returns the accepted orders.
func (w *Worker) Orders() []platform.OrderDocument {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	orders := make([]platform.OrderDocument, 0, len(w.orders))
	for i := range w.orders {
		orders = append(orders, w.orders[i].OrderDocument)
	}
	return orders
}

// AcceptedOrders returns the accepted orders with the time and effect of each.
func (w *Worker) AcceptedOrders() []AcceptedOrder {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.orders)
}

// DelayOrders delays the processing of each order, also if its sender no longer
// waits for the response.
func (w *Worker) DelayOrders(delay time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.orderDelay = delay
}

// acceptOrder accepts an order if its fencing token isn't older than the highest
// one seen, its expected sequence number is current and no load is in progress.
func (w *Worker) acceptOrder(out http.ResponseWriter, r *http.Request) {
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
	case order.Fence < w.highestFence && !w.config.Unfenced:
		out.WriteHeader(http.StatusPreconditionFailed)
		return
	case w.busy || order.Expected != w.sequence:
		out.WriteHeader(http.StatusConflict)
		return
	}
	w.highestFence = max(w.highestFence, order.Fence)
	w.sequence++
	w.orders = append(w.orders, AcceptedOrder{
		OrderDocument: order, At: time.Now(), Load: loadsModel(&order), ExceedsMemory: w.exceedsMemory(&order),
	})
	w.busy = order.Adapter == ""
	out.WriteHeader(http.StatusAccepted)
	go w.executeOrder(order)
}

// loadsModel reports whether an order loads a model rather than an adapter.
func loadsModel(order *platform.OrderDocument) bool {
	return order.Operation == "load" && order.Adapter == ""
}

// exceedsMemory reports whether a load needs more memory than the worker has,
// together with the loaded models. No other load needs to be counted, because one
// load runs at a time.
func (w *Worker) exceedsMemory(order *platform.OrderDocument) bool {
	if !loadsModel(order) {
		return false
	}
	requiredBytes := w.config.Models[order.Model].Bytes
	for _, loaded := range w.loadedModels {
		if loaded.Name != order.Model {
			requiredBytes += w.config.Models[loaded.Name].Bytes
		}
	}
	return w.config.MemoryBytes > 0 && requiredBytes > w.config.MemoryBytes
}

// executeOrder applies an accepted order after the load time and publishes the
// worker's entry.
func (w *Worker) executeOrder(order platform.OrderDocument) {
	time.Sleep(w.config.LoadTime)
	w.mutex.Lock()
	index := slices.IndexFunc(w.loadedModels, func(loaded platform.HeldModelDocument) bool { return loaded.Name == order.Model })
	switch {
	case order.Operation == "unload" && order.Adapter == "" && index >= 0:
		w.loadedModels = slices.Delete(slices.Clone(w.loadedModels), index, index+1)
	case order.Operation == "load" && order.Adapter == "" && index < 0:
		w.loadedModels = append(slices.Clone(w.loadedModels), platform.HeldModelDocument{Name: order.Model, Version: 1, Adapters: []string{}})
	case order.Operation == "load" && index >= 0:
		w.loadedModels = slices.Clone(w.loadedModels)
		w.loadedModels[index].Adapters = append(slices.Clone(w.loadedModels[index].Adapters), order.Adapter)
	}
	if order.Adapter == "" {
		w.busy = false
	}
	w.mutex.Unlock()
	w.publish()
}
