package hsapp

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"hyssopseam/io/hssettings"
)

// keyPair caches a certificate with its key and reloads both when the certificate file's modification time changes.
// It is safe for concurrent use.
type keyPair struct {
	settings hssettings.TLS

	mutex    sync.Mutex
	modified time.Time
	pair     *tls.Certificate
}

// load returns the newest pair. If the new files can't be read, it keeps returning the last good pair.
func (k *keyPair) load() (*tls.Certificate, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	stat, err := os.Stat(k.settings.Certificate)
	if err == nil && k.pair != nil && stat.ModTime().Equal(k.modified) {
		return k.pair, nil
	}
	if err == nil {
		var pair tls.Certificate
		if pair, err = tls.LoadX509KeyPair(k.settings.Certificate, k.settings.Key); err == nil {
			k.pair = &pair
			k.modified = stat.ModTime()
		}
	}
	if k.pair == nil {
		return nil, fmt.Errorf("hsapp: certificate: %w", err)
	}
	return k.pair, nil
}

// linkTLS returns the server and client configurations for links, with mutual TLS: both ends present certificates
// issued by the authority.
func linkTLS(s hssettings.TLS) (server, client *tls.Config, err error) {
	authority, err := os.ReadFile(s.Authority)
	if err != nil {
		return nil, nil, fmt.Errorf("hsapp: authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, nil, fmt.Errorf("hsapp: authority: %s holds no certificate", s.Authority)
	}
	k := &keyPair{settings: s}
	if _, err := k.load(); err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.load() },
		ClientAuth:     tls.RequireAndVerifyClientCert,
		ClientCAs:      pool,
	}
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.load() },
		RootCAs:              pool,
	}
	return server, client, nil
}

// httpTLS returns the server configuration for callers and operators, who need no client certificate.
func httpTLS(s hssettings.TLS) (*tls.Config, error) {
	k := &keyPair{settings: s}
	if _, err := k.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.load() },
	}, nil
}
