package node

import (
	"fmt"
	"testing"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// TestHeartbeatsCarryNewClaimsAtOnceAndRotateTheOthers checks that each heartbeat
// after a new claim carries that claim, and that a few heartbeats together carry all
// claims.
func TestHeartbeatsCarryNewClaimsAtOnceAndRotateTheOthers(t *testing.T) {
	const zones = 18
	directory := newCellDirectory()
	for zone := range zones {
		directory.recordClaim(wire.ControllerClaim{Zone: cluster.ZoneID(fmt.Sprintf("zone-%02d", zone)), Token: 1})
	}
	for range claimTransmissions {
		if claims := directory.heartbeatClaims("zone-00"); len(claims) != zones {
			t.Fatalf("heartbeat carries %d of %d new claims", len(claims), zones)
		}
	}
	seen := make(map[cluster.ZoneID]bool)
	for range (zones + claimsPerHeartbeat - 1) / claimsPerHeartbeat {
		claims := directory.heartbeatClaims("zone-00")
		if len(claims) != claimsPerHeartbeat+1 || claims[0].Zone != "zone-00" {
			t.Fatalf("heartbeat carries %v", claims)
		}
		for _, claim := range claims {
			seen[claim.Zone] = true
		}
	}
	if len(seen) != zones {
		t.Errorf("one rotation carried %d of %d claims", len(seen), zones)
	}
	directory.recordClaim(wire.ControllerClaim{Zone: "zone-07", Token: 2})
	if claims := directory.heartbeatClaims("zone-00"); claims[1].Zone != "zone-07" || claims[1].Token != 2 {
		t.Errorf("next heartbeat lacks the new claim: %v", claims)
	}
}
