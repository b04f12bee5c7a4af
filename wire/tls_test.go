package wire

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"
)

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate, err = x509.ParseCertificate(data); err != nil {
		t.Fatal(err)
	}
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// mutualTLS returns the option of a node that has a certificate of a and trusts certificates of
// trusted.
func (a *authority) mutualTLS(t *testing.T, trusted *authority) Option {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "node"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	data, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	certificates := []tls.Certificate{{Certificate: [][]byte{data}, PrivateKey: key}}
	pool := x509.NewCertPool()
	pool.AddCert(trusted.certificate)
	return WithTLS(
		&tls.Config{Certificates: certificates, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert},
		&tls.Config{Certificates: certificates, RootCAs: pool},
	)
}

// TestMutualTLS guards against messages that are accepted from a sender without a certificate of the
// deployment's authority.
func TestMutualTLS(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	received := make(chan Message, 1)
	to := openTransport(t, func(message Message) { received <- message }, ours.mutualTLS(t, ours))
	cases := []struct {
		name     string
		options  []Option
		accepted bool
	}{
		{"a node of the deployment", []Option{ours.mutualTLS(t, ours)}, true},
		{"a certificate of another authority", []Option{other.mutualTLS(t, ours)}, false},
		{"no TLS", nil, false},
	}
	for _, c := range cases {
		from := openTransport(t, func(Message) {}, c.options...)
		from.Send(to.Address(), CellStatusRequest{Zone: "east-1"})
		if err := from.Close(t.Context()); err != nil {
			t.Fatal(err)
		}
		statistics := from.Statistics()
		if accepted := statistics.Sent == 1; accepted != c.accepted || statistics.Sent+statistics.Failed != 1 {
			t.Errorf("%s: %+v", c.name, statistics)
		}
	}
	if len(received) != 1 {
		t.Errorf("received %d messages, want 1", len(received))
	}
}
