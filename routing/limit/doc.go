// Package limit enforces a router's part of the limits that the configuration sets on whole
// subtrees: concurrency, requests per second and tokens per second.
//
// A limit applies to the whole system. Each router enforces a share of it, which a controller
// grants by demand and which expires. Without a valid share, a router uses an even part. The parts
// of all routers thus never add up to more than the limit, even if no controller can be reached.
package limit
