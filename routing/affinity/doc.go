// Package affinity estimates which machines hold a prompt's prefix in their
// engine's cache, from cache events that come late and with gaps and from the
// requests that were sent there.
//
// Every entry has a strength between 0 and 1, the chance that the engine still
// holds the block. It halves with time, and each event that was missed takes
// off the chance that it was the entry's eviction.
package affinity
