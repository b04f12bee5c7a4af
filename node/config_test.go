package node_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/valveslip/valveslip/node"
)

// valid is a file with every required key.
const valid = `zone: a
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

// load writes a file and loads it. Errors name it node.yaml.
func load(t *testing.T, content string, overrides ...node.Override) (node.Config, string) {
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

func TestValidConfiguration(t *testing.T) {
	config, fault := load(t, valid,
		node.Override{Key: "zone", Value: "1", Source: "environment"},
		node.Override{Key: "seeds", Value: "127.0.0.1:1, 127.0.0.1:2", Source: "flag"},
		node.Override{Key: "drain_time", Value: "2m", Source: "flag"})
	if fault != "" {
		t.Fatal(fault)
	}
	if config.Zone != "1" || len(config.Seeds) != 2 || config.DrainTime.Minutes() != 2 || config.MaxBodyBytes != 65536 {
		t.Fatalf("%+v", config)
	}
	if config.LogLevel != node.DefaultLogLevel || config.TLS.KeyFile != "node.key" {
		t.Fatalf("%+v", config)
	}
}

func TestFaultsNameFileKeyAndReason(t *testing.T) {
	tests := []struct{ name, content string }{
		{"empty", ""},
		{"not yaml", "zone: [a"},
		{"not a mapping", "- zone"},
		{"unknown key", valid + "colour: blue\n"},
		{"unknown nested key", valid + "  cipher: x\n"},
		{"doubled key", valid + "zone: b\n"},
		{"tls not a mapping", strings.Split(valid, "tls:")[0] + "tls: yes\n"},
		{"duration", strings.Replace(valid, "90s", "soon", 1)},
		{"duration out of bounds", strings.Replace(valid, "90s", "2h", 1)},
		{"number", strings.Replace(valid, "65536", "many", 1)},
		{"number out of bounds", strings.Replace(valid, "65536", "7", 1)},
		{"list", strings.Replace(valid, "[127.0.0.1:9002]", "{a: b}", 1)},
		{"zone name", strings.Replace(valid, "zone: a", "zone: A b", 1)},
		{"host name as address", strings.Replace(valid, "127.0.0.1:8000", "localhost:8000", 1)},
		{"duplicate address", strings.Replace(valid, ":8001", ":8000", 1)},
		{"overlapping address", strings.Replace(valid, "127.0.0.1:8001", "0.0.0.0:8000", 1)},
		{"peer address for all interfaces", strings.Replace(valid, "127.0.0.1:8002", "0.0.0.0:8002", 1)},
		{"duplicate seed", strings.Replace(valid, "[127.0.0.1:9002]", "[127.0.0.1:1, 127.0.0.1:1]", 1)},
		{"seed without port", strings.Replace(valid, ":9002", ":0", 1)},
		{"url", strings.Replace(valid, "http://127.0.0.1:1", "127.0.0.1:1", 1)},
		{"log level", valid + "log_level: loud\n"},
		{"token hash", valid + "bootstrap_token_sha256: secret\n"},
		{"certificate without key", strings.Replace(valid, "  key_file: node.key\n", "", 1)},
		{"authority without certificate", strings.Split(valid, "tls:")[0] + "tls:\n  peer_authority_file: ca.pem\n"},
	}
	var faults strings.Builder
	for _, test := range tests {
		_, fault := load(t, test.content)
		if fault == "" {
			t.Errorf("%s: accepted", test.name)
		}
		faults.WriteString("## " + test.name + "\n" + fault + "\n")
	}
	_, err := node.LoadConfig(filepath.Join(t.TempDir(), "missing.yaml"), nil)
	if err == nil || !strings.Contains(err.Error(), "missing.yaml: cannot be read") {
		t.Errorf("missing file: %v", err)
	}
	goldie.New(t).Assert(t, "config_faults", []byte(faults.String()))
}

func FuzzLoadConfig(f *testing.F) {
	f.Add([]byte(valid))
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
			t.Fatalf("accepted %+v", config)
		}
	})
}
