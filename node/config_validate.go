package node

import (
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"time"
)

// Bounds of node settings.
const (
	minDrainTime      = time.Second
	minMachineListLag = time.Second
	maxMachineListLag = time.Hour
	maxDrainTime      = time.Hour
	minMaxBodyBytes   = 1 << 10
	maxMaxBodyBytes   = 64 << 20
)

// logLevels are the accepted values of log_level.
var logLevels = []string{"debug", "info", "warn", "error"}

// placeName is the form of zone and region names.
var placeName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// sha256Hex is the form of a token's hash.
var sha256Hex = regexp.MustCompile(`^[0-9a-f]{64}$`)

// validate checks the collected configuration; path is the source named for
// keys that were set nowhere.
func (l *loader) validate(path string) {
	if path == "" {
		path = "flags"
	}
	for _, key := range configKeys {
		if _, set := l.places[key.Name]; !set {
			l.places[key.Name] = ConfigError{Source: path}
		}
		if key.Required && reflect.ValueOf(key.target(&l.config)).Elem().IsZero() {
			l.fault(key.Name, "is required")
		}
	}
	l.validatePlace()
	l.validateAddresses()
	l.validateURLs()
	l.validateBounds()
	l.validateTLS()
}

// validatePlace checks zone and region.
func (l *loader) validatePlace() {
	places := []struct{ key, name string }{{"zone", string(l.config.Zone)}, {"region", string(l.config.Region)}}
	for _, place := range places {
		if place.name != "" && !placeName.MatchString(place.name) {
			l.fault(place.key, "%q is not made of lower-case letters, digits and inner hyphens", place.name)
		}
	}
}

// validateAddresses checks that addresses are IP:port and that no two
// listeners share one.
func (l *loader) validateAddresses() {
	type taken struct {
		key     string
		address netip.AddrPort
	}
	var used []taken
	listeners := []struct{ key, value string }{
		{"caller_address", l.config.CallerAddress},
		{"admin_address", l.config.AdminAddress},
		{"peer_address", l.config.PeerAddress},
	}
	for _, listener := range listeners {
		address, ok := l.address(listener.key, listener.value)
		if !ok {
			continue
		}
		if listener.key == "peer_address" && address.Addr().IsUnspecified() {
			l.fault(listener.key, "%s is no address that peers can reach", address)
		}
		if address.Port() == 0 {
			continue
		}
		for _, other := range used {
			if overlap(address, other.address) {
				l.fault(listener.key, "%s is the address of %s already", address, other.key)
			}
		}
		used = append(used, taken{listener.key, address})
	}
	l.validateSeeds()
}

// overlap reports whether two listeners would take the same port of one IP.
func overlap(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

// validateSeeds checks the peer addresses of other nodes.
func (l *loader) validateSeeds() {
	var seen []netip.AddrPort
	for _, seed := range l.config.Seeds {
		address, ok := l.address("seeds", seed)
		switch {
		case ok && slices.Contains(seen, address):
			l.fault("seeds", "%s stands twice", address)
		case ok && address.Port() == 0:
			l.fault("seeds", "%s has no port", address)
		}
		seen = append(seen, address)
	}
}

// address parses IP:port.
func (l *loader) address(key, value string) (netip.AddrPort, bool) {
	if value == "" {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		l.fault(key, "%q is not an address IP:port", value)
		return netip.AddrPort{}, false
	}
	return address, true
}

// validateURLs checks the platform's URLs.
func (l *loader) validateURLs() {
	urls := []struct{ key, value string }{
		{"key_value_url", l.config.KeyValueURL},
		{"machine_list_url", l.config.MachineListURL},
		{"weight_store_url", l.config.WeightStoreURL},
	}
	for _, entry := range urls {
		if entry.value == "" {
			continue
		}
		parsed, err := url.Parse(entry.value)
		if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
			l.fault(entry.key, "%q is not an http or https URL", entry.value)
		}
	}
}

// validateBounds checks durations, sizes and the log level.
func (l *loader) validateBounds() {
	if l.config.MachineListLag < minMachineListLag || l.config.MachineListLag > maxMachineListLag {
		l.fault("machine_list_lag", "%s is not between %s and %s", l.config.MachineListLag, minMachineListLag, maxMachineListLag)
	}
	if l.config.DrainTime < minDrainTime || l.config.DrainTime > maxDrainTime {
		l.fault("drain_time", "%s is not between %s and %s", l.config.DrainTime, minDrainTime, maxDrainTime)
	}
	if l.config.MaxBodyBytes < minMaxBodyBytes || l.config.MaxBodyBytes > maxMaxBodyBytes {
		l.fault("max_body_bytes", "%d is not between %d and %d", l.config.MaxBodyBytes, minMaxBodyBytes, maxMaxBodyBytes)
	}
	if l.config.BootstrapTokenSHA256 != "" && !sha256Hex.MatchString(l.config.BootstrapTokenSHA256) {
		l.fault("bootstrap_token_sha256", "is not 64 lower-case hexadecimal digits")
	}
	if !slices.Contains(logLevels, l.config.LogLevel) {
		l.fault("log_level", "%q is not debug, info, warn or error", l.config.LogLevel)
	}
}

// validateTLS checks that the TLS files belong together.
func (l *loader) validateTLS() {
	files := l.config.TLS
	if (files.CertificateFile == "") != (files.KeyFile == "") {
		l.fault("tls.certificate_file", "a certificate and its key must be set together")
	}
	if files.PeerAuthorityFile != "" && files.CertificateFile == "" {
		l.fault("tls.peer_authority_file", "mutual TLS needs tls.certificate_file and tls.key_file")
	}
}
