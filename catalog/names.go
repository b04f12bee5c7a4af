package catalog

import (
	"strings"

	"github.com/valveslip/valveslip/cluster"
)

// separator separates the service, model and adapter names in a model identifier.
const separator = "/"

// ServiceID returns the model identifier that stands for a service without
// models.
func ServiceID(service string) cluster.ModelID { return cluster.ModelID(service) }

// ModelID returns the identifier of a model of a service.
func ModelID(service, model string) cluster.ModelID {
	return cluster.ModelID(service + separator + model)
}

// AdapterID returns the identifier of an adapter of a service's model.
func AdapterID(service, model, adapter string) cluster.ModelID {
	return cluster.ModelID(service + separator + model + separator + adapter)
}

// Split returns the service, model and adapter names in an identifier. The model
// and adapter names may be empty.
func Split(id cluster.ModelID) (service, model, adapter string) {
	service, rest, _ := strings.Cut(string(id), separator)
	model, adapter, _ = strings.Cut(rest, separator)
	return service, model, adapter
}
