// Package prefixes compares ways to tell routers which engine may have a
// prompt's prefix cached: many real routing cores, modelled engines with small
// prefix caches, conversations that reach another router with each turn, and
// cache events that come late and with gaps. It runs on virtual time; the same
// options and seed give the same result.
package prefixes
