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

// The ports of a node, at an address of its own.
const (
	callersPort   = 8080
	readinessPort = 8081
	peerPort      = 7946
)

// The bounds in force.
const (
	drainBound         = 3 * time.Second
	configurationBound = 3 * time.Second
	graceTime          = 8 * time.Second
	holderPause        = 1500 * time.Millisecond
	loadWindow         = 5 * time.Second
	loadOverrun        = 1.1
	recoveryBound      = 14 * time.Second
	retryWindow        = 10 * time.Second
	retryRatio         = 0.2
	retryExtra         = 20
	nodeMemoryMB       = 64
	// zonedFrom is from how many nodes on there are two zones, rootedFrom three: with a relay
	// in each, one of them asks the store for all.
	zonedFrom  = 8
	rootedFrom = 24
)

const regionName = "region"

func zoneName(index int) string { return "zone-" + strconv.Itoa(index+1) }

// zones counts the zones of a deployment.
func zones(nodes int) int {
	switch {
	case nodes < zonedFrom:
		return 1
	case nodes < rootedFrom:
		return 2
	}
	return 3
}

// nodeSettings is the settings file of a node.
func nodeSettings(index, nodes int, ip, store string, schedule *plan.Schedule, first bool) platform.Settings {
	settings := platform.Settings{
		NodeName: fmt.Sprintf("node-%d", index), Role: "node", IP: ip, Region: regionName,
		Zone: zoneName(index % zones(nodes)), Zones: map[string]string{},
		Listen: platform.Listen{
			Callers: net.JoinHostPort(ip, strconv.Itoa(callersPort)), Readiness: net.JoinHostPort(ip, strconv.Itoa(readinessPort)),
		},
		InternalPorts: []int{peerPort, peerPort}, FirstStart: first,
		Resources: platform.Limits{CPUShare: 1, Cores: 1, MemoryMB: cmp.Or(schedule.MemoryMB, nodeMemoryMB)},
		Bounds: platform.Bounds{
			DrainMillis: millis(drainBound), ConfigMillis: millis(configurationBound), GraceSeconds: graceTime.Seconds(),
			RetryRatio: retryRatio, RetryWindowSeconds: retryWindow.Seconds(), RetryExtra: retryExtra,
			FencingEnforced: schedule.Fencing, LeaseMillis: millis(holderPause),
			LoadWindowSeconds: loadWindow.Seconds(), LoadOverrun: loadOverrun,
			RevokeStrict: true, RevokeMillis: millis(keyBound), QuotaWindowSeconds: floodLimit.Window.Seconds(),
			QuotaOverrun: floodLimit.Overrun, QuotaSlack: float64(floodLimit.Slack),
		},
		Store: platform.Store{Address: store},
	}
	for zone := range zones(nodes) {
		settings.Zones[zoneName(zone)] = regionName
	}
	return settings
}

func millis(d time.Duration) float64 { return float64(d.Milliseconds()) }

// writeSettings writes a settings file.
func writeSettings(path string, settings *platform.Settings) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return eris.Wrap(err, "settings")
	}
	return eris.Wrap(os.WriteFile(path, data, 0o600), "settings")
}
