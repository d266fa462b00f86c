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

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	file string
}

// writePEM writes a PEM file with one block and returns its path.
func writePEM(t *testing.T, kind string, der []byte) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "file.pem")
	is.New(t).NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return file
}

// newAuthority returns a new self-signed certificate authority.
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

// issueNode returns the TLS files of a node whose certificate is signed by a and
// which trusts the authority trusted.
func (a *authority) issueNode(t *testing.T, trusted *authority) TLSFiles {
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
	return TLSFiles{Certificate: writePEM(t, "CERTIFICATE", der), Key: writePEM(t, "EC PRIVATE KEY", raw), Authorities: trusted.file}
}

// callOverTLS makes one call between two nodes over TLS.
func callOverTLS(t *testing.T, client, server TLSFiles) error {
	t.Helper()
	is := is.New(t)
	clientTLS, err := LoadTLS(client)
	is.NoErr(err)
	serverTLS, err := LoadTLS(server)
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s, err := NewServer(tls.NewListener(l, serverTLS), secret, &echoHandler{})
	is.NoErr(err)
	go s.Serve()
	defer s.Close()
	peers := NewPeers(secret, OverTLS(DialTCP, clientTLS))
	defer peers.Close()
	return peers.Call(context.Background(), l.Addr().String(), "Exchange", News{From: "a"}, &News{})
}

// Nodes with certificates of the same authority can call each other. A node of
// another authority is refused as client and as server, although it knows the
// shared secret.
func TestOnlyNodesOfTheAuthorityConnect(t *testing.T) {
	is := is.New(t)
	trusted, foreign := newAuthority(t), newAuthority(t)
	is.NoErr(callOverTLS(t, trusted.issueNode(t, trusted), trusted.issueNode(t, trusted)))
	is.True(callOverTLS(t, foreign.issueNode(t, trusted), trusted.issueNode(t, trusted)) != nil) // client of another authority
	is.True(callOverTLS(t, trusted.issueNode(t, trusted), foreign.issueNode(t, trusted)) != nil) // server of another authority
}
