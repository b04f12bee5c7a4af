// Package limit enforces a router's part of the limits that the tree sets on
// whole subtrees: concurrency, requests a second and tokens a second.
//
// A limit holds over the whole system. Each router enforces a share of it that
// a controller granted by demand and that expires. Without a share in force a
// router keeps an even part, so that the parts of all routers never sum to
// more than the limit even when every controller is out of reach.
package limit
