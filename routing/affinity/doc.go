// Package affinity estimates which machines hold a prompt's prefix in the cache of their engine. It
// uses cache events, which arrive late and with gaps, and the requests that were sent to the
// machines.
//
// Every entry has a strength between 0 and 1, the probability that the engine still holds the
// block. It decays with a half-life, and each missed event lowers it by the probability that the
// event was the eviction of the block.
package affinity
