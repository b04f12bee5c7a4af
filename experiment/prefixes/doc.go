// Package prefixes compares strategies by which routers learn which engine may have a prompt's
// prefix cached. It runs many real routing cores against simulated engines with small prefix
// caches. The turns of a conversation reach different routers, and cache events arrive late and
// with gaps. The simulation uses virtual time: equal options and seed give equal results.
package prefixes
