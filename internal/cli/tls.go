package cli

import (
	"crypto/tls"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/node"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// wrapTLS wraps the listeners in TLS, as far as the settings name certificates,
// and returns the function that dials other nodes.
func wrapTLS(s config.Settings, l *node.Listeners) (wire.DialFunc, error) {
	if s.Certificate != "" {
		cert, err := tls.LoadX509KeyPair(s.Certificate, s.CertificateKey)
		if err != nil {
			return nil, errors.Wrap(err, "read certificate and certificate_key")
		}
		outer := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
		l.Callers = tls.NewListener(l.Callers, outer)
		l.Operators = tls.NewListener(l.Operators, outer)
	}
	if s.InnerCertificate == "" {
		return wire.DialTCP, nil
	}
	inner, err := wire.LoadTLS(wire.TLSFiles{Certificate: s.InnerCertificate, Key: s.InnerCertificateKey, Authorities: s.InnerAuthorities})
	if err != nil {
		return nil, err
	}
	l.Inner = tls.NewListener(l.Inner, inner)
	return wire.OverTLS(wire.DialTCP, inner), nil
}
