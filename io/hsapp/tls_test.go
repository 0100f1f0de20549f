package hsapp

import (
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

	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/io/hsdisk"
	"hyssopseam/io/hslog"
	"hyssopseam/io/hssettings"
)

// issuer is a certificate authority for a test.
type issuer struct {
	t      *testing.T
	folder string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
}

func newIssuer(t *testing.T) *issuer {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	i := &issuer{t: t, folder: t.TempDir(), key: key}
	i.cert = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	i.write("authority.pem", "CERTIFICATE", i.sign(i.cert, &key.PublicKey))
	return i
}

func (i *issuer) sign(c *x509.Certificate, key *ecdsa.PublicKey) []byte {
	i.t.Helper()
	data, err := x509.CreateCertificate(rand.Reader, c, i.cert, key, i.key)
	if err != nil {
		i.t.Fatal(err)
	}
	return data
}

func (i *issuer) write(name, kind string, data []byte) string {
	i.t.Helper()
	path := filepath.Join(i.folder, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		i.t.Fatal(err)
	}
	return path
}

// issue writes a key pair whose certificate has the given serial number and IP addresses.
func (i *issuer) issue(serial int64, addresses ...string) hssettings.TLS {
	i.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		i.t.Fatal(err)
	}
	c := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	for _, a := range addresses {
		c.IPAddresses = append(c.IPAddresses, net.ParseIP(a))
	}
	data, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		i.t.Fatal(err)
	}
	return hssettings.TLS{
		Key:         i.write("key.pem", "EC PRIVATE KEY", data),
		Certificate: i.write("certificate.pem", "CERTIFICATE", i.sign(c, &key.PublicKey)),
		Authority:   filepath.Join(i.folder, "authority.pem"),
	}
}

func startApp(t *testing.T, s *hssettings.Settings) {
	t.Helper()
	s.DrainTimeout = hssettings.Duration(30 * time.Second)
	app, err := New(s, hslog.Discard(), Clients{})
	if err != nil {
		t.Fatal(err)
	}
	if err := app.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := app.Stop(); err != nil {
			t.Error(err)
		}
	})
}

// TestTLS runs control and entry as two processes that use TLS between each other and towards callers, and replaces
// the certificate without a restart.
func TestTLS(t *testing.T) {
	const control, entry = "127.151.0.1", "127.151.0.2"
	authority := newIssuer(t)
	files := authority.issue(7, control, entry)
	link := hsstate.Peer(control + ":7100")
	data := filepath.Join(t.TempDir(), "data")
	if _, err := hsdisk.Bootstrap(data, "c", link); err != nil {
		t.Fatal(err)
	}
	startApp(t, &hssettings.Settings{Instance: "c", Zone: "z", Roles: []hsmessage.Role{hsmessage.RoleControl}, Link: link, HTTP: control + ":8100", Controls: []hsstate.Peer{link}, DataFolder: data, Control: hssettings.Control{Replicas: 1}, TLS: files})
	startApp(t, &hssettings.Settings{Instance: "e", Zone: "z", Roles: []hsmessage.Role{hsmessage.RoleEntry}, HTTP: entry + ":8100", Controls: []hsstate.Peer{link}, TLS: files})
	pool := x509.NewCertPool()
	pem, err := os.ReadFile(files.Authority)
	if err != nil || !pool.AppendCertsFromPEM(pem) {
		t.Fatalf("got %v, want an authority", err)
	}
	// The entry is ready once it holds a rules lease, so its link to control works.
	awaitCertificate(t, pool, entry, 7)
	later := time.Now().Add(time.Hour)
	files = authority.issue(8, control, entry)
	if err := os.Chtimes(files.Certificate, later, later); err != nil {
		t.Fatal(err)
	}
	awaitCertificate(t, pool, entry, 8)
	checkPlaintextRefused(t, string(link))
}

// checkPlaintextRefused connects without TLS: the process must not answer with a frame of the link protocol.
func checkPlaintextRefused(t *testing.T, address string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("\x00\x00\x00\x05hello")); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	first := make([]byte, 1)
	// A TLS alert record starts with byte 21; the length of a link frame would start with 0.
	if n, err := c.Read(first); n == 1 && first[0] != 21 {
		t.Errorf("got %x %v, want an alert or nothing", first, err)
	}
}

// awaitCertificate waits until the entry is ready and presents a certificate with this serial number.
func awaitCertificate(t *testing.T, pool *x509.CertPool, host string, serial int64) {
	t.Helper()
	got := int64(0)
	for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(20 * time.Millisecond) {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}}
		response, err := client.Get("https://" + host + ":8100/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		got = response.TLS.PeerCertificates[0].SerialNumber.Int64()
		if response.StatusCode == http.StatusOK && got == serial {
			return
		}
	}
	t.Fatalf("got certificate %d, want a ready entry with %d", got, serial)
}
