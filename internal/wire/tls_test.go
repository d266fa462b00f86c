package wire

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
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

func writePEM(t *testing.T, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file.pem")
	is.New(t).NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	cert, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return &authority{cert: cert, key: key, file: writePEM(t, "CERTIFICATE", der)}
}

// node returns the files of a node signed by a, that trusts the authorities of
// trust.
func (a *authority) node(t *testing.T, trust *authority) TLSFiles {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "node"}, NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	raw, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	return TLSFiles{Certificate: writePEM(t, "CERTIFICATE", der), Key: writePEM(t, "EC PRIVATE KEY", raw), Authorities: trust.file}
}

// callOver makes one call between two nodes over TLS.
func callOver(t *testing.T, client, server TLSFiles) error {
	t.Helper()
	is := is.New(t)
	near, err := LoadTLS(client)
	is.NoErr(err)
	far, err := LoadTLS(server)
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s, err := NewServer(tls.NewListener(l, far), secret, &echo{})
	is.NoErr(err)
	go s.Serve()
	defer s.Close()
	peers := NewPeers(secret, OverTLS(TCP, near))
	defer peers.Close()
	return peers.Call(context.Background(), l.Addr().String(), "Exchange", News{From: "a"}, &News{})
}

// Nodes of one authority talk; a node of another is refused by either side,
// though it knows the secret.
func TestOnlyNodesOfTheAuthorityTalk(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	is.NoErr(callOver(t, ours.node(t, ours), ours.node(t, ours)))
	is.True(callOver(t, theirs.node(t, ours), ours.node(t, ours)) != nil) // a stranger calls
	is.True(callOver(t, ours.node(t, ours), theirs.node(t, ours)) != nil) // a stranger answers
}
