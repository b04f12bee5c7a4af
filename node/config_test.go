package node_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/valveslip/valveslip/node"
)

// validConfig is a configuration file with every required key.
const validConfig = `zone: a
region: north
caller_address: 127.0.0.1:8000
admin_address: 127.0.0.1:8001
peer_address: 127.0.0.1:8002
seeds: [127.0.0.1:9002]
key_value_url: http://127.0.0.1:1
machine_list_url: http://127.0.0.1:2
weight_store_url: https://store.internal
drain_time: 90s
max_body_bytes: 65536
tls:
  certificate_file: node.pem
  key_file: node.key
`

// loadConfig writes a file and loads it. Error texts call the file node.yaml.
func loadConfig(t *testing.T, content string, overrides ...node.Override) (node.Config, string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "node.yaml")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := node.LoadConfig(file, overrides)
	if err == nil {
		return config, ""
	}
	return config, strings.ReplaceAll(err.Error(), file, "node.yaml")
}

// TestLoadConfigAppliesOverridesAndDefaults checks that overrides replace values of the
// file and that keys without a value get their default.
func TestLoadConfigAppliesOverridesAndDefaults(t *testing.T) {
	config, message := loadConfig(t, validConfig,
		node.Override{Key: "zone", Value: "1", Source: "environment"},
		node.Override{Key: "seeds", Value: "127.0.0.1:1, 127.0.0.1:2", Source: "flag"},
		node.Override{Key: "drain_time", Value: "2m", Source: "flag"})
	if message != "" {
		t.Fatal(message)
	}
	if config.Zone != "1" || len(config.Seeds) != 2 || config.DrainTime.Minutes() != 2 || config.MaxBodyBytes != 65536 {
		t.Fatalf("%+v", config)
	}
	if config.LogLevel != node.DefaultLogLevel || config.TLS.KeyFile != "node.key" {
		t.Fatalf("%+v", config)
	}
}

// TestConfigErrorsNameFileKeyAndReason checks that each invalid configuration is
// rejected with an error that names the file, the key and the reason.
func TestConfigErrorsNameFileKeyAndReason(t *testing.T) {
	tests := []struct{ name, content string }{
		{"empty", ""},
		{"not yaml", "zone: [a"},
		{"not a mapping", "- zone"},
		{"unknown key", validConfig + "colour: blue\n"},
		{"unknown nested key", validConfig + "  cipher: x\n"},
		{"duplicate key", validConfig + "zone: b\n"},
		{"tls not a mapping", strings.Split(validConfig, "tls:")[0] + "tls: yes\n"},
		{"duration", strings.Replace(validConfig, "90s", "soon", 1)},
		{"duration out of bounds", strings.Replace(validConfig, "90s", "2h", 1)},
		{"number", strings.Replace(validConfig, "65536", "many", 1)},
		{"number out of bounds", strings.Replace(validConfig, "65536", "7", 1)},
		{"list", strings.Replace(validConfig, "[127.0.0.1:9002]", "{a: b}", 1)},
		{"zone name", strings.Replace(validConfig, "zone: a", "zone: A b", 1)},
		{"host name as address", strings.Replace(validConfig, "127.0.0.1:8000", "localhost:8000", 1)},
		{"duplicate address", strings.Replace(validConfig, ":8001", ":8000", 1)},
		{"overlapping address", strings.Replace(validConfig, "127.0.0.1:8001", "0.0.0.0:8000", 1)},
		{"peer address for all interfaces", strings.Replace(validConfig, "127.0.0.1:8002", "0.0.0.0:8002", 1)},
		{"duplicate seed", strings.Replace(validConfig, "[127.0.0.1:9002]", "[127.0.0.1:1, 127.0.0.1:1]", 1)},
		{"seed without port", strings.Replace(validConfig, ":9002", ":0", 1)},
		{"url", strings.Replace(validConfig, "http://127.0.0.1:1", "127.0.0.1:1", 1)},
		{"log level", validConfig + "log_level: loud\n"},
		{"token hash", validConfig + "bootstrap_token_sha256: secret\n"},
		{"certificate without key", strings.Replace(validConfig, "  key_file: node.key\n", "", 1)},
		{"authority without certificate", strings.Split(validConfig, "tls:")[0] + "tls:\n  peer_authority_file: ca.pem\n"},
	}
	var messages strings.Builder
	for _, test := range tests {
		_, message := loadConfig(t, test.content)
		if message == "" {
			t.Errorf("%s: invalid configuration accepted", test.name)
		}
		messages.WriteString("## " + test.name + "\n" + message + "\n")
	}
	_, err := node.LoadConfig(filepath.Join(t.TempDir(), "missing.yaml"), nil)
	if err == nil || !strings.Contains(err.Error(), "missing.yaml: cannot be read") {
		t.Errorf("missing file: %v", err)
	}
	goldie.New(t).Assert(t, "config_faults", []byte(messages.String()))
}

// FuzzLoadConfig checks that no accepted file leaves required values empty.
func FuzzLoadConfig(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte("zone: &a [*a]\n"))
	f.Add([]byte("tls: {certificate_file: 1, certificate_file: 2}\n"))
	f.Add([]byte("? {a: b}\n: c\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		file := filepath.Join(t.TempDir(), "node.yaml")
		if err := os.WriteFile(file, content, 0o600); err != nil {
			t.Fatal(err)
		}
		config, err := node.LoadConfig(file, nil)
		if err == nil && (config.Zone == "" || config.CallerAddress == "" || config.DrainTime <= 0) {
			t.Fatalf("invalid configuration accepted: %+v", config)
		}
	})
}
