package node

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Config is a node's own settings: its addresses, its place and where to find
// the platform. It is read from a YAML file by LoadConfig; flags and
// environment override it.
type Config struct {
	// Zone and Region the node runs in.
	Zone   cluster.ZoneID   `yaml:"zone"`
	Region cluster.RegionID `yaml:"region"`
	// CallerAddress is the listen address, IP:port, of the callers' API.
	CallerAddress string `yaml:"caller_address"`
	// AdminAddress is the listen address of the administration API, metrics
	// and health.
	AdminAddress string `yaml:"admin_address"`
	// PeerAddress is the listen address for messages between nodes.
	PeerAddress string `yaml:"peer_address"`
	// Seeds are peer addresses of other nodes, any of which may be down.
	Seeds []string `yaml:"seeds"`
	// KeyValueURL, MachineListURL and WeightStoreURL are the platform's.
	KeyValueURL    string `yaml:"key_value_url"`
	MachineListURL string `yaml:"machine_list_url"`
	WeightStoreURL string `yaml:"weight_store_url"`
	// DrainTime bounds a planned stop; the default is 60 s.
	DrainTime time.Duration `yaml:"drain_time"`
	// MachineListLag is for how long a machine must be missing from the machine
	// list before its replicas count as gone; the default is 30 s.
	MachineListLag time.Duration `yaml:"machine_list_lag"`
	// MaxBodyBytes bounds a request body; the default is 4 MiB.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// LogLevel is debug, info, warn or error; the default is info.
	LogLevel string `yaml:"log_level"`
	// BootstrapTokenSHA256 is the lower-case hexadecimal SHA-256 of a token
	// that may edit the whole tree besides the tokens in it, for the first
	// edits; empty means none.
	BootstrapTokenSHA256 string `yaml:"bootstrap_token_sha256"`
	// TLS settings; all empty means plain TCP.
	TLS TLSConfig `yaml:"tls"`
}

// TLSConfig names PEM files. They are read again when they change.
type TLSConfig struct {
	// CertificateFile and KeyFile serve the callers' and administration
	// listeners, and identify the node to its peers.
	CertificateFile string `yaml:"certificate_file"`
	KeyFile         string `yaml:"key_file"`
	// PeerAuthorityFile holds the authorities that sign the nodes'
	// certificates; setting it turns on mutual TLS between nodes.
	PeerAuthorityFile string `yaml:"peer_authority_file"`
}
