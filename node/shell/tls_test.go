package shell_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/node/shell"
)

// authority signs certificates.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// newAuthority returns an authority of its own.
func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	template.Raw = der
	return &authority{template, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a certificate with the given serial number and its key.
func (a *authority) issue(t *testing.T, files node.TLSConfig, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}))
	write(t, files.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(t, files.PeerAuthorityFile, a.pem)
}

// write replaces a file; each call gives it a new time of change.
func write(t *testing.T, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
	changes++
	at := time.Unix(int64(1_000_000+changes), 0)
	if err := os.Chtimes(name, at, at); err != nil {
		t.Fatal(err)
	}
}

// changes counts written files.
var changes int

// securedNode starts a node whose identity lies in a directory of its own.
func securedNode(t *testing.T, signer *authority, seeds ...string) (*shell.Node, node.TLSConfig) {
	t.Helper()
	directory := t.TempDir()
	files := node.TLSConfig{
		CertificateFile: filepath.Join(directory, "node.pem"), KeyFile: filepath.Join(directory, "node.key"),
		PeerAuthorityFile: filepath.Join(directory, "authority.pem"),
	}
	signer.issue(t, files, 1)
	const loopback = "127.0.0.1:0"
	started, err := shell.Start(context.Background(), node.Config{
		Zone: zone, CallerAddress: loopback, AdminAddress: loopback, PeerAddress: loopback, Seeds: seeds, DrainTime: time.Second, TLS: files,
		KeyValueURL: "http://127.0.0.1:1", MachineListURL: "http://127.0.0.1:1", WeightStoreURL: "http://127.0.0.1:1",
	}, shell.Options{NewCore: func(self cluster.Node) shell.Stepper {
		return node.NewCore(node.CoreConfig{Self: self, Seeds: seeds})
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Kill)
	return started, files
}

// serial returns the serial number of the certificate a listener shows.
func serial(t *testing.T, signer *authority, address string) int64 {
	t.Helper()
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(signer.pem)
	connection, err := tls.Dial("tcp", address, &tls.Config{RootCAs: roots})
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

func TestCertificatesAreReloaded(t *testing.T) {
	signer := newAuthority(t)
	started, files := securedNode(t, signer)
	for _, address := range []string{started.Self().CallerAddress, started.Self().AdminAddress} {
		if got := serial(t, signer, address); got != 1 {
			t.Fatalf("serial %d before the change", got)
		}
	}
	signer.issue(t, files, 2)
	if got := serial(t, signer, started.Self().CallerAddress); got != 2 {
		t.Fatalf("serial %d after the change", got)
	}
	write(t, files.CertificateFile, []byte("damaged"))
	if got := serial(t, signer, started.Self().CallerAddress); got != 2 {
		t.Fatalf("serial %d with a damaged file", got)
	}
}

func TestPeersNeedACertificateOfTheirAuthority(t *testing.T) {
	signer := newAuthority(t)
	first, _ := securedNode(t, signer)
	second, _ := securedNode(t, signer, first.Self().PeerAddress)
	waitFor(t, "membership over mutual TLS", func() bool { return len(members(first)) == 1 && len(members(second)) == 1 })

	_, files := securedNode(t, newAuthority(t))
	stranger, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	for name, shown := range map[string][]tls.Certificate{"no certificate": nil, "another authority's": {stranger}} {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, Certificates: shown}}}
		answer, err := client.Post("https://"+first.Self().PeerAddress+"/messages", "avro/binary", http.NoBody)
		if err == nil {
			_ = answer.Body.Close()
			t.Errorf("a peer with %s was heard", name)
		}
	}
}

// members returns the ids of the nodes a node knows.
func members(n *shell.Node) (ids []cluster.NodeID) {
	n.Inspect(func(core *node.Core) {
		for _, member := range core.Members() {
			if member.Node.ID != n.Self().ID {
				ids = append(ids, member.Node.ID)
			}
		}
	})
	return ids
}
