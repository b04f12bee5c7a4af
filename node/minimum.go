package node

import (
	"slices"

	"github.com/valveslip/valveslip/cluster"
)

// minimumShares returns this zone's share of the replicas that each model keeps loaded
// even when idle. The configured minimum is the total of all zones. Zones that may
// hold the model take it in the order of zoneHash, each up to its allotment. All
// controllers read the same records and so compute the same division.
func (c *Core) minimumShares() map[cluster.ModelID]int {
	shares := map[cluster.ModelID]int{}
	snapshot := c.Snapshot()
	if snapshot == nil {
		return shares
	}
	for i := range snapshot.Models {
		model := &snapshot.Models[i]
		if model.Policy.MinReplicas == 0 {
			continue
		}
		if share := c.minimumShare(model.ID, model.Policy.MinReplicas); share > 0 {
			shares[model.ID] = share
		}
	}
	return shares
}

// minimumShare returns this zone's share of one model's minimum.
func (c *Core) minimumShare(model cluster.ModelID, minimum int) int {
	zones := make([]cluster.ZoneID, 0, len(c.keyValue.allotments))
	for zone := range c.keyValue.allotments {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b cluster.ZoneID) int { return compareByHash(model, a, b) })
	for _, zone := range zones {
		allotment := c.keyValue.allotments[zone]
		part := min(minimum, allotment.Limit(model))
		if zone == c.self.Zone {
			return part
		}
		minimum -= part
	}
	return 0
}

// compareByHash orders zones by descending zoneHash of the model.
func compareByHash(model cluster.ModelID, a, b cluster.ZoneID) int {
	switch x, y := zoneHash(model, a), zoneHash(model, b); {
	case x > y:
		return -1
	case x < y:
		return 1
	default:
		return 0
	}
}
