// Package authority decides, as a pure core, who may give orders: leases,
// fencing tokens, sealing of machines, the memory ledger and the division of
// replica counts over zones.
package authority
