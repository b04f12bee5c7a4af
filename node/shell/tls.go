package shell

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/node"
)

// identity is the node's certificate and the CA certificates for its peers.
type identity struct {
	certificate     *tls.Certificate
	peerAuthorities *x509.CertPool
}

// identityReloader reloads the files of a TLSConfig when they change. Each handshake
// checks the files' modification times. If a changed file cannot be loaded, the error
// is logged and the previous identity stays in use.
type identityReloader struct {
	files  node.TLSConfig
	logger *slog.Logger

	mutex             sync.Mutex
	modificationTimes [3]time.Time
	current           identity
}

// newIdentityReloader loads the files, or returns nil if no certificate is configured.
func newIdentityReloader(files node.TLSConfig, logger *slog.Logger) (*identityReloader, error) {
	if files.CertificateFile == "" {
		return nil, nil
	}
	reloader := &identityReloader{files: files, logger: logger, modificationTimes: modificationTimes(files)}
	var err error
	reloader.current, err = readIdentity(files)
	return reloader, err
}

// modificationTimes returns the files' modification times, zero for missing files.
func modificationTimes(files node.TLSConfig) (times [3]time.Time) {
	for i, name := range []string{files.CertificateFile, files.KeyFile, files.PeerAuthorityFile} {
		if info, err := os.Stat(name); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

func readIdentity(files node.TLSConfig) (identity, error) {
	certificate, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return identity{}, eris.Wrapf(err, "read certificate %s", files.CertificateFile)
	}
	read := identity{certificate: &certificate}
	if files.PeerAuthorityFile == "" {
		return read, nil
	}
	data, err := os.ReadFile(files.PeerAuthorityFile)
	if err != nil {
		return identity{}, eris.Wrap(err, "read peer authority file")
	}
	read.peerAuthorities = x509.NewCertPool()
	if !read.peerAuthorities.AppendCertsFromPEM(data) {
		return identity{}, eris.Errorf("peer authority file %s contains no certificate", files.PeerAuthorityFile)
	}
	return read, nil
}

// currentIdentity returns the identity, reloaded if the files have changed.
func (r *identityReloader) currentIdentity() identity {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	times := modificationTimes(r.files)
	if times == r.modificationTimes {
		return r.current
	}
	read, err := readIdentity(r.files)
	if err != nil {
		r.logger.Warn("certificate not reloaded", "error", err)
		return r.current
	}
	r.current, r.modificationTimes = read, times
	r.logger.Info("certificate reloaded", "file", r.files.CertificateFile)
	return read
}

// serverConfig returns the TLS configuration for callers and operators.
func (r *identityReloader) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.currentIdentity().certificate, nil
		},
	}
}

// peerServerConfig returns a configuration that accepts only peers with a certificate
// signed by the peer authorities.
func (r *identityReloader) peerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := r.currentIdentity()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*current.certificate},
				ClientCAs: current.peerAuthorities, ClientAuth: tls.RequireAndVerifyClientCert,
			}, nil
		},
	}
}

// peerClientConfig returns a configuration that connects only to peers with a
// certificate signed by the peer authorities. Host names are not checked: nodes are
// replaced at any time and under any address, and a certificate from the nodes' CA is
// what identifies a peer.
func (r *identityReloader) peerClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.currentIdentity().certificate, nil
		},
		InsecureSkipVerify: true, // VerifyConnection checks the chain instead.
		VerifyConnection:   r.verifyPeer,
	}
}

// verifyPeer checks a peer's certificate chain against the current peer authorities.
func (r *identityReloader) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return eris.New("verify peer: no certificate presented")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: r.currentIdentity().peerAuthorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return eris.Wrap(err, "verify peer certificate")
}
