package catalog

import (
	"strings"

	"github.com/valveslip/valveslip/cluster"
)

// separator stands between a service, its model and the model's adapter in the
// identifiers that decisions use.
const separator = "/"

// ServiceID names the work of a service without models.
func ServiceID(service string) cluster.ModelID { return cluster.ModelID(service) }

// ModelID names a model of a service.
func ModelID(service, model string) cluster.ModelID {
	return cluster.ModelID(service + separator + model)
}

// AdapterID names an adapter of a model of a service.
func AdapterID(service, model, adapter string) cluster.ModelID {
	return cluster.ModelID(service + separator + model + separator + adapter)
}

// Split returns the parts of an identifier; model and adapter may be empty.
func Split(id cluster.ModelID) (service, model, adapter string) {
	service, rest, _ := strings.Cut(string(id), separator)
	model, adapter, _ = strings.Cut(rest, separator)
	return service, model, adapter
}
