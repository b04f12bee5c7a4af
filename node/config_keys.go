package node

import (
	"strings"
	"time"

	"github.com/valveslip/valveslip/authority"
)

// Default values of Config.
const (
	DefaultDrainTime    = 60 * time.Second
	DefaultMaxBodyBytes = 4 << 20
	DefaultLogLevel     = "info"
)

// ConfigKey describes one configuration key. Flags, environment variables and the
// documentation are generated from the list of keys.
type ConfigKey struct {
	// Name is the key in the YAML file; nested keys are joined by a dot.
	Name string
	// Default is the default value as text, empty if there is none.
	Default string
	// Required is true for keys that have no default and must not be empty.
	Required bool
	// Usage is a one-sentence description.
	Usage string

	target func(*Config) any
}

// FlagName returns the name of the command-line flag.
func (k ConfigKey) FlagName() string {
	return strings.NewReplacer("_", "-", ".", "-").Replace(k.Name)
}

// EnvironmentName returns the name of the environment variable.
func (k ConfigKey) EnvironmentName() string {
	return EnvironmentPrefix + "_" + strings.ToUpper(strings.NewReplacer("-", "_", ".", "_").Replace(k.Name))
}

// EnvironmentPrefix is the prefix of all environment variables.
const EnvironmentPrefix = "VALVESLIP"

// configKeys lists every configuration key in the order of the documentation.
var configKeys = []ConfigKey{
	{Name: "zone", Required: true, Usage: "Zone the node runs in; requests prefer engines of its zone.", target: func(c *Config) any { return &c.Zone }},
	{Name: "region", Usage: "Region the zone belongs to.", target: func(c *Config) any { return &c.Region }},
	{Name: "caller_address", Required: true, Usage: "Listen address IP:port of the callers' API.", target: func(c *Config) any { return &c.CallerAddress }},
	{Name: "admin_address", Required: true, Usage: "Listen address IP:port of the administration API, metrics and health.", target: func(c *Config) any { return &c.AdminAddress }},
	{Name: "peer_address", Required: true, Usage: "Listen address IP:port for messages between nodes; peers reach the node there.", target: func(c *Config) any { return &c.PeerAddress }},
	{Name: "seeds", Usage: "Peer addresses IP:port of other nodes, any of which may be down; on a flag separated by commas.", target: func(c *Config) any { return &c.Seeds }},
	{Name: "key_value_url", Required: true, Usage: "URL of the key-value service.", target: func(c *Config) any { return &c.KeyValueURL }},
	{Name: "machine_list_url", Required: true, Usage: "URL of the machine list.", target: func(c *Config) any { return &c.MachineListURL }},
	{Name: "weight_store_url", Required: true, Usage: "URL of the weight store.", target: func(c *Config) any { return &c.WeightStoreURL }},
	{Name: "drain_time", Default: DefaultDrainTime.String(), Usage: "Longest time a planned stop waits for requests in flight, 1s to 1h.", target: func(c *Config) any { return &c.DrainTime }},
	{Name: "machine_list_lag", Default: authority.DefaultMachineLag.String(), Usage: "How long a machine must be missing from the machine list before its replicas count as gone, 1s to 1h; longer than the list lags.", target: func(c *Config) any { return &c.MachineListLag }},
	{Name: "max_body_bytes", Default: "4194304", Usage: "Largest request body in bytes, 1024 to 67108864; larger ones are answered 413.", target: func(c *Config) any { return &c.MaxBodyBytes }},
	{Name: "log_level", Default: DefaultLogLevel, Usage: "Least severe log lines written: debug, info, warn or error.", target: func(c *Config) any { return &c.LogLevel }},
	{Name: "bootstrap_token_sha256", Usage: "Lower-case hexadecimal SHA-256 of a token that may edit the whole settings tree, for the first edits.", target: func(c *Config) any { return &c.BootstrapTokenSHA256 }},
	{Name: "tls.certificate_file", Usage: "PEM certificate chain of the listeners; with tls.key_file it turns on TLS.", target: func(c *Config) any { return &c.TLS.CertificateFile }},
	{Name: "tls.key_file", Usage: "PEM private key of the certificate.", target: func(c *Config) any { return &c.TLS.KeyFile }},
	{Name: "tls.peer_authority_file", Usage: "PEM certificates of the authorities that sign nodes' certificates; turns on mutual TLS between nodes.", target: func(c *Config) any { return &c.TLS.PeerAuthorityFile }},
}

// ConfigKeys returns a copy of all configuration keys in the order of the
// documentation.
func ConfigKeys() []ConfigKey { return append([]ConfigKey(nil), configKeys...) }

func findKey(name string) (ConfigKey, bool) {
	for _, key := range configKeys {
		if key.Name == name {
			return key, true
		}
	}
	return ConfigKey{}, false
}
