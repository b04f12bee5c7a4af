package node

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Config is the configuration of one node: its listen addresses, its location and the
// URLs of the platform services. LoadConfig reads it from a YAML file; flags and
// environment variables override the file.
type Config struct {
	// Zone and Region are the location of the node.
	Zone   cluster.ZoneID   `yaml:"zone"`
	Region cluster.RegionID `yaml:"region"`
	// CallerAddress is the listen address, IP:port, of the inference API.
	CallerAddress string `yaml:"caller_address"`
	// AdminAddress is the listen address of the administration API, metrics
	// and health.
	AdminAddress string `yaml:"admin_address"`
	// PeerAddress is the listen address for messages between nodes.
	PeerAddress string `yaml:"peer_address"`
	// Seeds are peer addresses of other nodes, any of which may be down.
	Seeds []string `yaml:"seeds"`
	// KeyValueURL, MachineListURL and WeightStoreURL are the URLs of the platform
	// services.
	KeyValueURL    string `yaml:"key_value_url"`
	MachineListURL string `yaml:"machine_list_url"`
	WeightStoreURL string `yaml:"weight_store_url"`
	// DrainTime is the longest time a graceful stop waits for requests in flight; the
	// default is 60 s.
	DrainTime time.Duration `yaml:"drain_time"`
	// MachineListLag is the time a machine must be missing from the machine list before
	// its replicas are taken as gone; the default is 30 s.
	MachineListLag time.Duration `yaml:"machine_list_lag"`
	// MaxBodyBytes is the largest accepted request body; the default is 4 MiB.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// LogLevel is debug, info, warn or error; the default is info.
	LogLevel string `yaml:"log_level"`
	// BootstrapTokenSHA256 is the lower-case hexadecimal SHA-256 of a token that may
	// edit the whole settings tree except its tokens, for the first edits. Empty
	// disables it.
	BootstrapTokenSHA256 string `yaml:"bootstrap_token_sha256"`
	// TLS names the certificate files; without any the listeners use plain TCP.
	TLS TLSConfig `yaml:"tls"`
}

// TLSConfig names PEM files, which are reloaded when they change.
type TLSConfig struct {
	// CertificateFile and KeyFile are used by the caller and administration listeners,
	// and identify the node to its peers.
	CertificateFile string `yaml:"certificate_file"`
	KeyFile         string `yaml:"key_file"`
	// PeerAuthorityFile holds the CA certificates that sign the nodes' certificates.
	// Setting it turns on mutual TLS between nodes.
	PeerAuthorityFile string `yaml:"peer_authority_file"`
}
