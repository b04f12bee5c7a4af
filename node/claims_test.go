package node

import (
	"fmt"
	"testing"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// TestHeartbeatsCarryEveryClaimInTurn holds that a few heartbeats bring all
// claims, and that new ones are on each of the next.
func TestHeartbeatsCarryEveryClaimInTurn(t *testing.T) {
	const zones = 18
	directory := newCellDirectory()
	for zone := range zones {
		directory.note(wire.ControllerClaim{Zone: cluster.ZoneID(fmt.Sprintf("zone-%02d", zone)), Token: 1})
	}
	for range claimTransmissions {
		if claims := directory.heartbeatClaims("zone-00"); len(claims) != zones {
			t.Fatalf("a heartbeat carries %d of %d new claims", len(claims), zones)
		}
	}
	seen := make(map[cluster.ZoneID]bool)
	for range (zones + claimsPerHeartbeat - 1) / claimsPerHeartbeat {
		claims := directory.heartbeatClaims("zone-00")
		if len(claims) != claimsPerHeartbeat+1 || claims[0].Zone != "zone-00" {
			t.Fatalf("a heartbeat carries %v", claims)
		}
		for _, claim := range claims {
			seen[claim.Zone] = true
		}
	}
	if len(seen) != zones {
		t.Errorf("a round brought %d of %d claims", len(seen), zones)
	}
	directory.note(wire.ControllerClaim{Zone: "zone-07", Token: 2})
	if claims := directory.heartbeatClaims("zone-00"); claims[1].Zone != "zone-07" || claims[1].Token != 2 {
		t.Errorf("the new claim is not on the next heartbeat: %v", claims)
	}
}
