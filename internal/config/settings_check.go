package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"
)

const (
	minSecretLength    = 16
	maxPlatformTimeout = 30 * time.Second
	minLifetime        = 24 * time.Hour
	maxLifetime        = 10 * 365 * 24 * time.Hour
)

// Allowed values of settings that are enumerations.
var (
	logLevels      = []string{"debug", "info", "warn", "error"}
	logFormats     = []string{"json", "console"}
	traceExporters = []string{"none", "stdout", "otlp"}
)

// Check returns the first fault of the settings as a *FolderError that names file.
// The order of checks is fixed.
func (s *Settings) Check(file string) error {
	for _, step := range []func() error{s.checkIdentity, s.checkAddresses, s.checkPlatform, s.checkLifetimes, s.checkSecrets, s.checkCertificates, s.checkTelemetry} {
		if err := step(); err != nil {
			return withFile(file, err)
		}
	}
	return nil
}

func settingFault(key, format string, args ...any) error {
	return &FolderError{Key: key, Remedy: fmt.Sprintf(format, args...)}
}

func (s *Settings) checkIdentity() error {
	for _, f := range []struct{ key, value string }{
		{"id", s.ID}, {"data_centre", s.DataCentre}, {"region", s.Region},
	} {
		if f.value == "" {
			return settingFault(f.key, "is missing: set it")
		}
		if !validName(f.value) {
			return settingFault(f.key, "%q is not a name: %s", f.value, nameRule)
		}
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	used := map[string]string{}
	for _, f := range []struct{ key, value string }{
		{"listen", s.Listen}, {"inner_listen", s.InnerListen}, {"operator_listen", s.OperatorListen},
	} {
		address, err := checkAddress(f.key, f.value)
		if err != nil {
			return err
		}
		if other, ok := used[f.value]; ok && address.Port() != 0 {
			return settingFault(f.key, "%s is also the address of %s: give each its own port", f.value, other)
		}
		used[f.value] = f.key
	}
	for i, peer := range s.Peers {
		if _, err := checkAddress(fmt.Sprintf("peers[%d]", i), peer); err != nil {
			return err
		}
	}
	return nil
}

// checkAddress parses IP:port. It refuses unspecified addresses such as 0.0.0.0,
// since others connect to the address.
func checkAddress(key, value string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		return address, settingFault(key, "%q is not an address: write IP:port, such as \"10.0.0.1:8080\"", value)
	}
	if address.Addr().IsUnspecified() {
		return address, settingFault(key, "%q stands for every address: write the VM's own IP, which others connect to", value)
	}
	return address, nil
}

func checkURL(key, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return settingFault(key, "%q is not a URL: write one such as \"http://10.0.0.9:7000\"", value)
	}
	return nil
}

func (s *Settings) checkPlatform() error {
	if err := checkURL("platform", s.Platform); err != nil {
		return err
	}
	if d := s.PlatformTimeout.Std(); d <= 0 || d > maxPlatformTimeout {
		return settingFault("platform_timeout", "%s is out of range: write more than 0s and at most %s", d, maxPlatformTimeout)
	}
	return nil
}

func (s *Settings) checkLifetimes() error {
	for _, f := range []struct {
		key   string
		value Duration
	}{{"claim_life", s.ClaimLifetime}, {"bill_life", s.BillLifetime}, {"pin_life", s.PinLifetime}} {
		if d := f.value.Std(); d < minLifetime || d > maxLifetime {
			return settingFault(f.key, "%s is out of range: write 24h to 87600h, the same on all nodes", d)
		}
	}
	return nil
}

func (s *Settings) checkSecrets() error {
	if len(s.InnerSecret) < minSecretLength {
		return settingFault("inner_secret", "has %d characters: write at least %d, the same on all nodes", len(s.InnerSecret), minSecretLength)
	}
	if len(s.OperatorKey) < minSecretLength {
		return settingFault("operator_key", "has %d characters: write at least %d", len(s.OperatorKey), minSecretLength)
	}
	if s.InnerSecret == s.OperatorKey {
		return settingFault("operator_key", "is the same as inner_secret: choose another")
	}
	return nil
}

func (s *Settings) checkTelemetry() error {
	for _, f := range []struct {
		key, value string
		known      []string
	}{
		{"log_level", s.LogLevel, logLevels},
		{"log_format", s.LogFormat, logFormats},
		{"trace_exporter", s.TraceExporter, traceExporters},
	} {
		if !slices.Contains(f.known, f.value) {
			return settingFault(f.key, "is %q: use one of %s", f.value, strings.Join(f.known, ", "))
		}
	}
	if !inRange(s.TraceRatio, 0, 1) {
		return settingFault("trace_ratio", "%g is outside 0 to 1: write the share of requests to trace", s.TraceRatio)
	}
	if s.TraceExporter == "otlp" {
		return checkURL("trace_endpoint", s.TraceEndpoint)
	}
	return nil
}

// checkCertificates checks that the files of each group are all set or all unset.
func (s *Settings) checkCertificates() error {
	type file struct{ key, value string }
	for _, group := range [][]file{
		{{"inner_certificate", s.InnerCertificate}, {"inner_certificate_key", s.InnerCertificateKey}, {"inner_authorities", s.InnerAuthorities}},
		{{"certificate", s.Certificate}, {"certificate_key", s.CertificateKey}},
	} {
		setCount := 0
		missing := ""
		for _, f := range group {
			if f.value != "" {
				setCount++
			} else if missing == "" {
				missing = f.key
			}
		}
		if setCount > 0 && missing != "" {
			return settingFault(missing, "is missing while others of its group are set: name the file, or none of them")
		}
	}
	return nil
}
