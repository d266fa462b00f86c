package config

import (
	"net"
	"net/url"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// EnvPrefix begins the environment variables that override settings: key
// "listen" is COWSLIPFALL_LISTEN.
const EnvPrefix = "COWSLIPFALL_"

// Settings are those of one process. They do not change while it runs.
type Settings struct {
	// ID is the node's name; unique in the fleet.
	ID string `toml:"id"`
	// DataCentre and Region tell where the node stands.
	DataCentre string `toml:"data_centre"`
	Region     string `toml:"region"`
	// Listen is the IP and port for callers.
	Listen string `toml:"listen"`
	// InnerListen is the IP and port for other nodes.
	InnerListen string `toml:"inner_listen"`
	// OperatorListen is the IP and port for operators: status, metrics,
	// profiles.
	OperatorListen string `toml:"operator_listen"`
	// Platform is the base URL of the platform's services.
	Platform string `toml:"platform"`
	// PlatformTimeout bounds one call of the platform; default 1s.
	PlatformTimeout Duration `toml:"platform_timeout"`
	// Peers are inner addresses of other nodes, for a start while the
	// platform is away; may be empty.
	Peers []string `toml:"peers"`
	// InnerSecret is shared by all nodes; at least 16 characters.
	InnerSecret string `toml:"inner_secret"`
	// OperatorKey opens the operators' interface; at least 16 characters.
	OperatorKey string `toml:"operator_key"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `toml:"log_level"`
	// LogFormat is json or console; default json.
	LogFormat string `toml:"log_format"`
	// TraceExporter is none, stdout or otlp; default none.
	TraceExporter string `toml:"trace_exporter"`
	// TraceEndpoint is the collector's URL for otlp.
	TraceEndpoint string `toml:"trace_endpoint"`
}

const (
	minSecretLength        = 16
	defaultPlatformTimeout = time.Second
)

// DefaultSettings returns the settings of a process that is told nothing.
func DefaultSettings() Settings {
	return Settings{PlatformTimeout: Duration(defaultPlatformTimeout), LogLevel: "info", LogFormat: "json", TraceExporter: "none"}
}

// LoadSettings reads a TOML file, lays the environment over it, and checks
// the result. An empty path reads the environment only.
func LoadSettings(path string, environ []string) (Settings, error) {
	s := DefaultSettings()
	if path != "" {
		if err := s.readFile(path); err != nil {
			return s, err
		}
	}
	if err := s.readEnvironment(environ); err != nil {
		return s, err
	}
	return s, s.Check(path)
}

func (s *Settings) readFile(path string) error {
	body, err := os.ReadFile(path)
	if err != nil {
		return &FolderError{File: path, Remedy: "cannot read the settings (" + err.Error() + "): check the path and permissions"}
	}
	meta, err := toml.Decode(string(body), s)
	if err != nil {
		return &FolderError{File: path, Remedy: describeTOML(err)}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		key := unknown[0].String()
		return &FolderError{File: path, Key: key, Remedy: "is unknown" + nearestHint(key, SettingKeys())}
	}
	return nil
}

// SettingKeys lists the keys of the settings file.
func SettingKeys() []string { return structKeys(reflect.TypeFor[Settings](), map[reflect.Type]bool{}) }

// readEnvironment takes COWSLIPFALL_* variables; lists are separated by
// commas.
func (s *Settings) readEnvironment(environ []string) error {
	for _, entry := range environ {
		name, value, _ := strings.Cut(entry, "=")
		key, ok := strings.CutPrefix(name, EnvPrefix)
		if !ok {
			continue
		}
		if err := s.Set(strings.ToLower(key), value); err != nil {
			return &FolderError{File: "environment", Key: name, Remedy: err.Error()}
		}
	}
	return nil
}

// Set changes one setting by its key.
func (s *Settings) Set(key, value string) error {
	v := reflect.ValueOf(s).Elem()
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("toml") != key {
			continue
		}
		switch field := v.Field(i).Addr().Interface().(type) {
		case *string:
			*field = value
		case *[]string:
			*field = strings.Split(value, ",")
		case *Duration:
			return field.UnmarshalText([]byte(value))
		}
		return nil
	}
	return &FolderError{Key: key, Remedy: "is unknown" + nearestHint(key, SettingKeys())}
}

// Check returns the first fault of the settings, naming file, key and remedy.
func (s *Settings) Check(file string) error {
	fault := func(key, remedy string) error { return &FolderError{File: file, Key: key, Remedy: remedy} }
	for key, value := range map[string]string{"id": s.ID, "data_centre": s.DataCentre, "region": s.Region} {
		if value == "" {
			return fault(key, "is missing: set it")
		}
	}
	for key, value := range map[string]string{"listen": s.Listen, "inner_listen": s.InnerListen, "operator_listen": s.OperatorListen} {
		if _, _, err := net.SplitHostPort(value); err != nil {
			return fault(key, "is not an address: write IP:port, such as \"10.0.0.1:8080\"")
		}
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Host == "" {
		return fault("platform", "is not a URL: write one such as \"http://10.0.0.9:7000\"")
	}
	if len(s.InnerSecret) < minSecretLength {
		return fault("inner_secret", "is too short: write at least 16 characters, the same on all nodes")
	}
	if len(s.OperatorKey) < minSecretLength {
		return fault("operator_key", "is too short: write at least 16 characters")
	}
	for key, choice := range map[string]struct {
		value string
		known []string
	}{
		"log_level":      {s.LogLevel, []string{"debug", "info", "warn", "error"}},
		"log_format":     {s.LogFormat, []string{"json", "console"}},
		"trace_exporter": {s.TraceExporter, []string{"none", "stdout", "otlp"}},
	} {
		if !slices.Contains(choice.known, choice.value) {
			return fault(key, "is "+choice.value+": use one of "+strings.Join(choice.known, ", "))
		}
	}
	if s.PlatformTimeout <= 0 {
		return fault("platform_timeout", "must be above zero")
	}
	return nil
}
