package wire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/pkg/errors"
)

// TLSFiles holds the paths of the PEM files for TLS between nodes.
type TLSFiles struct {
	// Certificate and Key are those of the node. Authorities holds the
	// certificate authorities that sign the certificates of all nodes.
	Certificate string
	Key         string
	Authorities string
}

// LoadTLS returns the configuration of mutual TLS between nodes. A certificate is
// verified against the authorities and its purpose, but not against a host name,
// since nodes have IP addresses that change.
func LoadTLS(f TLSFiles) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "read inner_certificate and inner_certificate_key")
	}
	pem, err := os.ReadFile(f.Authorities)
	if err != nil {
		return nil, errors.Wrap(err, "read inner_authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("inner_authorities: %s holds no PEM certificate", f.Authorities)
	}
	return &tls.Config{
		Certificates:          []tls.Certificate{certificate},
		ClientAuth:            tls.RequireAndVerifyClientCert,
		ClientCAs:             roots,
		MinVersion:            tls.VersionTLS13,
		InsecureSkipVerify:    true, // VerifyPeerCertificate verifies instead, without a host name
		VerifyPeerCertificate: verifyServer(roots),
	}, nil
}

// verifyServer returns a callback that verifies the certificate chain of a
// server. On the server's side crypto/tls has verified the client's chain
// already.
func verifyServer(roots *x509.CertPool) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, verified [][]*x509.Certificate) error {
		if len(verified) > 0 {
			return nil
		}
		options := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
		var leaf *x509.Certificate
		for i, der := range raw {
			c, err := x509.ParseCertificate(der)
			if err != nil {
				return errors.Wrap(err, "read the peer's certificate")
			}
			if i == 0 {
				leaf = c
				continue
			}
			options.Intermediates.AddCert(c)
		}
		if leaf == nil {
			return errors.Wrap(ErrUnauthenticated, "the peer has no certificate")
		}
		_, err := leaf.Verify(options)
		return errors.Wrap(err, "the peer's certificate is not signed by inner_authorities")
	}
}

// OverTLS returns a dial function that performs a TLS handshake on the connections
// that dial opens.
func OverTLS(dial DialFunc, config *tls.Config) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		tlsConn := tls.Client(conn, config)
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, errors.Wrap(err, "TLS handshake with the peer")
		}
		return tlsConn, nil
	}
}
