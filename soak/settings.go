package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/soak/plan"
)

// The ports of a node. Each node has an IP address of its own.
const (
	callersPort   = 8080
	readinessPort = 8081
	peerPort      = 7946
)

// The bounds of the deployment, its settings and the numbers of nodes that determine its zones.
const (
	drainBound         = 3 * time.Second
	configurationBound = 3 * time.Second
	gracePeriod        = 8 * time.Second
	leaseDuration      = 1500 * time.Millisecond
	loadWindow         = 5 * time.Second
	loadOverrun        = 1.1
	recoveryBound      = 14 * time.Second
	retryWindow        = 10 * time.Second
	retryRatio         = 0.2
	retryExtra         = 20
	nodeMemoryMB       = 64
	// twoZonesFrom is the number of nodes from which on there are two zones, threeZonesFrom
	// the number for three. With three zones, each with a relay, one of the relays fetches
	// from the store for all.
	twoZonesFrom   = 8
	threeZonesFrom = 24
)

const regionName = "region"

func zoneName(index int) string { return "zone-" + strconv.Itoa(index+1) }

// zoneCount returns the number of zones of a deployment.
func zoneCount(nodes int) int {
	switch {
	case nodes < twoZonesFrom:
		return 1
	case nodes < threeZonesFrom:
		return 2
	}
	return 3
}

// nodeSettings returns the contents of a node's settings file.
func nodeSettings(index, nodes int, ip, store string, schedule *plan.Schedule, first bool) platform.Settings {
	settings := platform.Settings{
		NodeName: fmt.Sprintf("node-%d", index), Role: "node", IP: ip, Region: regionName,
		Zone: zoneName(index % zoneCount(nodes)), Zones: map[string]string{},
		Listen: platform.Listen{
			Callers: net.JoinHostPort(ip, strconv.Itoa(callersPort)), Readiness: net.JoinHostPort(ip, strconv.Itoa(readinessPort)),
		},
		InternalPorts: []int{peerPort, peerPort}, FirstStart: first,
		Resources: platform.Limits{CPUShare: 1, Cores: 1, MemoryMB: cmp.Or(schedule.MemoryMB, nodeMemoryMB)},
		Bounds: platform.Bounds{
			DrainMillis: millis(drainBound), ConfigMillis: millis(configurationBound), GraceSeconds: gracePeriod.Seconds(),
			RetryRatio: retryRatio, RetryWindowSeconds: retryWindow.Seconds(), RetryExtra: retryExtra,
			FencingEnforced: schedule.Fencing, LeaseMillis: millis(leaseDuration),
			LoadWindowSeconds: loadWindow.Seconds(), LoadOverrun: loadOverrun,
			RevokeStrict: true, RevokeMillis: millis(keyBound), QuotaWindowSeconds: floodLimit.Window.Seconds(),
			QuotaOverrun: floodLimit.Overrun, QuotaSlack: float64(floodLimit.Slack),
		},
		Store: platform.Store{Address: store},
	}
	for zone := range zoneCount(nodes) {
		settings.Zones[zoneName(zone)] = regionName
	}
	return settings
}

func millis(d time.Duration) float64 { return float64(d.Milliseconds()) }

// writeSettings writes a settings file.
func writeSettings(path string, settings *platform.Settings) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode the settings of a node")
	}
	return eris.Wrap(os.WriteFile(path, data, 0o600), "write the settings of a node")
}
