// Package demand aggregates the routers' reports of waiting and running requests for the controller
// that decides on placement.
package demand
