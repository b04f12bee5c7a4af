package node

import (
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"time"
)

// Limits of configuration values.
const (
	minDrainTime      = time.Second
	minMachineListLag = time.Second
	maxMachineListLag = time.Hour
	maxDrainTime      = time.Hour
	minMaxBodyBytes   = 1 << 10
	maxMaxBodyBytes   = 64 << 20
)

// logLevels lists the valid values of log_level.
var logLevels = []string{"debug", "info", "warn", "error"}

// locationNamePattern matches the names of zones and regions.
var locationNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// sha256Pattern matches the hexadecimal SHA-256 of a token.
var sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// validate checks the loaded configuration. Errors of keys that no source sets name
// path as their source, or "flags" if path is empty.
func (l *configLoader) validate(path string) {
	if path == "" {
		path = "flags"
	}
	for _, key := range configKeys {
		if _, set := l.sources[key.Name]; !set {
			l.sources[key.Name] = ConfigError{Source: path}
		}
		if key.Required && reflect.ValueOf(key.target(&l.config)).Elem().IsZero() {
			l.addError(key.Name, "is required")
		}
	}
	l.validateLocation()
	l.validateAddresses()
	l.validateURLs()
	l.validateBounds()
	l.validateTLS()
}

// validateLocation checks zone and region.
func (l *configLoader) validateLocation() {
	locations := []struct{ key, name string }{{"zone", string(l.config.Zone)}, {"region", string(l.config.Region)}}
	for _, location := range locations {
		if location.name != "" && !locationNamePattern.MatchString(location.name) {
			l.addError(location.key, "%q is not made of lower-case letters, digits and inner hyphens", location.name)
		}
	}
}

// validateAddresses checks that the listen addresses have the form IP:port and do not
// overlap.
func (l *configLoader) validateAddresses() {
	type listenerAddress struct {
		key     string
		address netip.AddrPort
	}
	var used []listenerAddress
	listeners := []struct{ key, value string }{
		{"caller_address", l.config.CallerAddress},
		{"admin_address", l.config.AdminAddress},
		{"peer_address", l.config.PeerAddress},
	}
	for _, listener := range listeners {
		address, ok := l.parseAddress(listener.key, listener.value)
		if !ok {
			continue
		}
		if listener.key == "peer_address" && address.Addr().IsUnspecified() {
			l.addError(listener.key, "%s is not an address that peers can reach", address)
		}
		if address.Port() == 0 {
			continue
		}
		for _, other := range used {
			if addressesOverlap(address, other.address) {
				l.addError(listener.key, "%s overlaps the address of %s", address, other.key)
			}
		}
		used = append(used, listenerAddress{listener.key, address})
	}
	l.validateSeeds()
}

// addressesOverlap reports whether two listeners would bind the same port of one IP
// address.
func addressesOverlap(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

// validateSeeds checks the seed addresses.
func (l *configLoader) validateSeeds() {
	var seen []netip.AddrPort
	for _, seed := range l.config.Seeds {
		address, ok := l.parseAddress("seeds", seed)
		switch {
		case ok && slices.Contains(seen, address):
			l.addError("seeds", "%s is listed twice", address)
		case ok && address.Port() == 0:
			l.addError("seeds", "%s has no port", address)
		}
		seen = append(seen, address)
	}
}

// parseAddress parses IP:port and records an error if that fails.
func (l *configLoader) parseAddress(key, value string) (netip.AddrPort, bool) {
	if value == "" {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		l.addError(key, "%q is not an address IP:port", value)
		return netip.AddrPort{}, false
	}
	return address, true
}

// validateURLs checks the URLs of the platform services.
func (l *configLoader) validateURLs() {
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
			l.addError(entry.key, "%q is not an http or https URL", entry.value)
		}
	}
}

// validateBounds checks durations, sizes and the log level.
func (l *configLoader) validateBounds() {
	if l.config.MachineListLag < minMachineListLag || l.config.MachineListLag > maxMachineListLag {
		l.addError("machine_list_lag", "%s is not between %s and %s", l.config.MachineListLag, minMachineListLag, maxMachineListLag)
	}
	if l.config.DrainTime < minDrainTime || l.config.DrainTime > maxDrainTime {
		l.addError("drain_time", "%s is not between %s and %s", l.config.DrainTime, minDrainTime, maxDrainTime)
	}
	if l.config.MaxBodyBytes < minMaxBodyBytes || l.config.MaxBodyBytes > maxMaxBodyBytes {
		l.addError("max_body_bytes", "%d is not between %d and %d", l.config.MaxBodyBytes, minMaxBodyBytes, maxMaxBodyBytes)
	}
	if l.config.BootstrapTokenSHA256 != "" && !sha256Pattern.MatchString(l.config.BootstrapTokenSHA256) {
		l.addError("bootstrap_token_sha256", "is not 64 lower-case hexadecimal digits")
	}
	if !slices.Contains(logLevels, l.config.LogLevel) {
		l.addError("log_level", "%q is not debug, info, warn or error", l.config.LogLevel)
	}
}

// validateTLS checks that the TLS files are set in valid combinations.
func (l *configLoader) validateTLS() {
	files := l.config.TLS
	if (files.CertificateFile == "") != (files.KeyFile == "") {
		l.addError("tls.certificate_file", "a certificate and its key must be set together")
	}
	if files.PeerAuthorityFile != "" && files.CertificateFile == "" {
		l.addError("tls.peer_authority_file", "mutual TLS needs tls.certificate_file and tls.key_file")
	}
}
