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

// testCA is a certificate authority.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// newTestCA returns a new certificate authority.
func newTestCA(t *testing.T) *testCA {
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
	return &testCA{template, key, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a certificate with the given serial number, its key and the CA
// certificate.
func (a *testCA) issue(t *testing.T, files node.TLSConfig, serial int64) {
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
	writeFileWithNewTime(t, files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}))
	writeFileWithNewTime(t, files.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	writeFileWithNewTime(t, files.PeerAuthorityFile, a.pem)
}

// writeFileWithNewTime replaces a file and gives it a new modification time on each
// call.
func writeFileWithNewTime(t *testing.T, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
	fileWrites++
	at := time.Unix(int64(1_000_000+fileWrites), 0)
	if err := os.Chtimes(name, at, at); err != nil {
		t.Fatal(err)
	}
}

// fileWrites counts the written files.
var fileWrites int

// startTLSNode starts a node with certificate files in a directory of its own.
func startTLSNode(t *testing.T, ca *testCA, seeds ...string) (*shell.Node, node.TLSConfig) {
	t.Helper()
	directory := t.TempDir()
	files := node.TLSConfig{
		CertificateFile: filepath.Join(directory, "node.pem"), KeyFile: filepath.Join(directory, "node.key"),
		PeerAuthorityFile: filepath.Join(directory, "authority.pem"),
	}
	ca.issue(t, files, 1)
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

// servedSerial returns the serial number of the certificate that a listener presents.
func servedSerial(t *testing.T, ca *testCA, address string) int64 {
	t.Helper()
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(ca.pem)
	connection, err := tls.Dial("tcp", address, &tls.Config{RootCAs: roots})
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}

// TestChangedCertificateIsReloadedAndInvalidOneIsIgnored checks that listeners present
// a changed certificate without a restart, and keep it when the file becomes invalid.
func TestChangedCertificateIsReloadedAndInvalidOneIsIgnored(t *testing.T) {
	ca := newTestCA(t)
	started, files := startTLSNode(t, ca)
	for _, address := range []string{started.Self().CallerAddress, started.Self().AdminAddress} {
		if got := servedSerial(t, ca, address); got != 1 {
			t.Fatalf("serial %d before the change, want 1", got)
		}
	}
	ca.issue(t, files, 2)
	if got := servedSerial(t, ca, started.Self().CallerAddress); got != 2 {
		t.Fatalf("serial %d after the change, want 2", got)
	}
	writeFileWithNewTime(t, files.CertificateFile, []byte("damaged"))
	if got := servedSerial(t, ca, started.Self().CallerAddress); got != 2 {
		t.Fatalf("serial %d with an invalid certificate file, want 2", got)
	}
}

// TestPeerWithoutCertificateOfTheAuthorityIsRejected checks that nodes with
// certificates of one CA find each other, and that the peer listener rejects any other
// certificate.
func TestPeerWithoutCertificateOfTheAuthorityIsRejected(t *testing.T) {
	ca := newTestCA(t)
	first, _ := startTLSNode(t, ca)
	second, _ := startTLSNode(t, ca, first.Self().PeerAddress)
	waitFor(t, "membership over mutual TLS", func() bool { return len(members(first)) == 1 && len(members(second)) == 1 })

	_, files := startTLSNode(t, newTestCA(t))
	foreign, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	for name, certificates := range map[string][]tls.Certificate{"no certificate": nil, "another authority's": {foreign}} {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, Certificates: certificates}}}
		answer, err := client.Post("https://"+first.Self().PeerAddress+"/messages", "avro/binary", http.NoBody)
		if err == nil {
			_ = answer.Body.Close()
			t.Errorf("peer with %s was accepted", name)
		}
	}
}

// members returns the IDs of the other nodes that a node knows.
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
