package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// EnvPrefix is the prefix of the environment variables that override settings. For
// example, COWSLIPFALL_LISTEN overrides the key "listen".
const EnvPrefix = "COWSLIPFALL_"

// Settings are the settings of one process. They do not change while it runs.
type Settings struct {
	// ID is the node's name, unique in the fleet.
	ID string `toml:"id"`
	// DataCentre and Region are the node's location.
	DataCentre string `toml:"data_centre"`
	Region     string `toml:"region"`
	// Listen is the IP address and port for callers.
	Listen string `toml:"listen"`
	// InnerListen is the IP address and port for other nodes.
	InnerListen string `toml:"inner_listen"`
	// OperatorListen is the IP address and port for operators: status, metrics
	// and profiles.
	OperatorListen string `toml:"operator_listen"`
	// Platform is the base URL of the platform's services.
	Platform string `toml:"platform"`
	// PlatformTimeout bounds one call to the platform; default 1s.
	PlatformTimeout Duration `toml:"platform_timeout"`
	// Peers are inner addresses of other nodes, used at start if the platform
	// is unavailable; may be empty.
	Peers []string `toml:"peers"`
	// InnerSecret is the secret shared by all nodes; at least 16 characters.
	InnerSecret string `toml:"inner_secret"`
	// InnerCertificate, InnerCertificateKey and InnerAuthorities are PEM files
	// for mutual TLS between nodes; all three or none.
	InnerCertificate    string `toml:"inner_certificate"`
	InnerCertificateKey string `toml:"inner_certificate_key"`
	InnerAuthorities    string `toml:"inner_authorities"`
	// Certificate and CertificateKey are PEM files for TLS with callers and
	// operators; both or none.
	Certificate    string `toml:"certificate"`
	CertificateKey string `toml:"certificate_key"`
	// OperatorKey authorises access to the operators' interface; at least 16
	// characters.
	OperatorKey string `toml:"operator_key"`
	// ClaimLifetime, BillLifetime and PinLifetime are the minimum times to keep
	// the outcomes of calls that must not be repeated, bills, and the versions
	// of sessions; the same on all nodes. Defaults 168h, 2160h and 720h.
	ClaimLifetime Duration `toml:"claim_life"`
	BillLifetime  Duration `toml:"bill_life"`
	PinLifetime   Duration `toml:"pin_life"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `toml:"log_level"`
	// LogFormat is json or console; default json.
	LogFormat string `toml:"log_format"`
	// TraceExporter is none, stdout or otlp; default none.
	TraceExporter string `toml:"trace_exporter"`
	// TraceEndpoint is the collector's URL for otlp.
	TraceEndpoint string `toml:"trace_endpoint"`
	// TraceRatio is the share of requests to trace, 0 to 1, in addition to those
	// that their callers trace; default 0.01.
	TraceRatio float64 `toml:"trace_ratio"`
}

const (
	defaultPlatformTimeout = time.Second
	defaultTraceRatio      = 0.01
	defaultClaimLifetime   = 7 * 24 * time.Hour
	defaultBillLifetime    = 90 * 24 * time.Hour
	defaultPinLifetime     = 30 * 24 * time.Hour
)

// DefaultSettings returns the default values of all settings that have one.
func DefaultSettings() Settings {
	return Settings{
		PlatformTimeout: Duration(defaultPlatformTimeout), LogLevel: "info", LogFormat: "json", TraceExporter: "none", TraceRatio: defaultTraceRatio,
		ClaimLifetime: Duration(defaultClaimLifetime), BillLifetime: Duration(defaultBillLifetime), PinLifetime: Duration(defaultPinLifetime),
	}
}

// LoadSettings reads a TOML file, applies environment variables and then overrides,
// and validates the result. With an empty path it reads no file. Its error is a
// *FolderError.
func LoadSettings(path string, environ []string, overrides map[string]string) (Settings, error) {
	s := DefaultSettings()
	if path != "" {
		if err := s.readFile(path); err != nil {
			return s, err
		}
	}
	if err := s.readEnvironment(environ); err != nil {
		return s, err
	}
	for _, key := range sortedKeys(overrides) {
		if err := s.Set(key, overrides[key]); err != nil {
			return s, withFile("command line", err)
		}
	}
	return s, s.Check(path)
}

func (s *Settings) readFile(path string) error {
	body, err := readBounded(os.DirFS(filepath.Dir(path)), filepath.Base(path))
	if err != nil {
		return withFile(path, err)
	}
	if _, err := parseTOML(path, body, reflect.TypeFor[Settings]()); err != nil {
		return err
	}
	if _, err := toml.Decode(string(body), s); err != nil {
		return syntaxError(path, err)
	}
	return nil
}

// SettingKeys lists the keys of the settings file.
func SettingKeys() []string { return tomlKeys(reflect.TypeFor[Settings]()) }

// readEnvironment applies the COWSLIPFALL_* variables of environ. Items of lists
// are separated by commas.
func (s *Settings) readEnvironment(environ []string) error {
	for _, entry := range environ {
		name, value, _ := strings.Cut(entry, "=")
		key, ok := strings.CutPrefix(name, EnvPrefix)
		if !ok {
			continue
		}
		if err := s.Set(strings.ToLower(key), value); err != nil {
			return withFile("environment variable "+name, err)
		}
	}
	return nil
}

// Set sets one setting by its key. Items of lists are separated by commas.
func (s *Settings) Set(key, value string) error {
	field, ok := fieldByKey(reflect.TypeFor[Settings](), key)
	if !ok {
		return &FolderError{Key: key, Remedy: "is unknown" + nearestHint(key, SettingKeys())}
	}
	switch target := reflect.ValueOf(s).Elem().FieldByIndex(field.Index).Addr().Interface().(type) {
	case *string:
		*target = value
	case *float64:
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return &FolderError{Key: key, Remedy: strconv.Quote(value) + " is not a number: write one such as 0.01"}
		}
		*target = v
	case *[]string:
		*target = splitList(value)
	case *Duration:
		if err := target.UnmarshalText([]byte(value)); err != nil {
			return &FolderError{Key: key, Remedy: err.Error()}
		}
	}
	return nil
}

// splitList splits a list at commas, trims the items and skips empty ones.
func splitList(value string) []string {
	var out []string
	for item := range strings.SplitSeq(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
