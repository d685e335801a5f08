// Package loader reads and checks a daemon's settings.
package loader

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gopkg.in/yaml.v3"

	"github.com/catkinrun/catkinrun"
)

// Settings describe a daemon, its host, and the way to reach the platform.
type Settings struct {
	Host    string `yaml:"host"`    // unique name of the host
	Zone    string `yaml:"zone"`    // availability zone
	Service string `yaml:"service"` // of the backend server on this host
	Server  string `yaml:"server"`  // the backend server's address, IP and port
	Store   string `yaml:"store"`   // address of the platform's store, IP and port
	Listen  Listen `yaml:"listen"`
	Times   Times  `yaml:"times"`
	Retries int    `yaml:"retries"` // retries per service and window over all hosts, beyond the retry fraction
	Memory  int    `yaml:"memory"`  // memory that the process may use, in MB
	Files   int    `yaml:"files"`   // file descriptors that the process may use
	Log     Log    `yaml:"log"`
}

// Listen has the addresses, IP and port, of the daemon's listeners.
type Listen struct {
	Caller   string `yaml:"caller"`   // callers on this host
	Peer     string `yaml:"peer"`     // other daemons
	Announce string `yaml:"announce"` // the backend server's announcements
	Ready    string `yaml:"ready"`    // the platform's readiness check
	Operator string `yaml:"operator"` // metrics and the operators' read-only commands
}

// Times are the daemon's time limits.
type Times struct {
	Store catkinrun.Duration `yaml:"store"` // timeout of a call to the platform's store
	Drain catkinrun.Duration `yaml:"drain"` // from a server's draining announcement until it must get no new requests
	Stop  catkinrun.Duration `yaml:"stop"`  // from the stop signal until the process must have exited
}

// Log configures the log.
type Log struct {
	Level string `yaml:"level"` // info, debug, warn or error
}

// Defaults returns the values of the settings that a file may omit.
func Defaults() Settings {
	return Settings{
		Times: Times{
			Store: catkinrun.Duration(1500 * time.Millisecond),
			Drain: catkinrun.Duration(2 * time.Second),
			Stop:  catkinrun.Duration(6 * time.Second),
		},
		Retries: 48,
		Memory:  256,
		Files:   1024,
		Log:     Log{Level: "info"},
	}
}

// FileError reports settings that cannot be used. Its message has the file and, for an
// invalid field, the line if known, the field and what is expected.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("settings %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Read returns the content of a file with settings; it fails with *FileError.
func Read(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return raw, nil
}

// Parse decodes and checks the settings in the content of a file; it fails with *FileError.
func Parse(file string, raw []byte) (Settings, error) {
	settings := Defaults()
	decoder := yaml.NewDecoder(bytes.NewReader(raw))
	decoder.KnownFields(true)
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, &FileError{File: file, Cause: err}
	}
	if err := settings.Validate(); err != nil {
		return Settings{}, &FileError{File: file, Cause: withLine(raw, err)}
	}
	return settings, nil
}

// Validate checks the settings; it fails with *catkinrun.InvalidError.
func (s Settings) Validate() error {
	required := []struct{ field, value string }{
		{"host", s.Host},
		{"zone", s.Zone},
		{"service", s.Service},
	}
	for _, r := range required {
		if r.value == "" {
			return invalid(r.field, "missing")
		}
	}
	addresses := []struct{ field, value string }{
		{"server", s.Server},
		{"store", s.Store},
		{"listen.caller", s.Listen.Caller},
		{"listen.peer", s.Listen.Peer},
		{"listen.announce", s.Listen.Announce},
		{"listen.ready", s.Listen.Ready},
		{"listen.operator", s.Listen.Operator},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return invalid(a.field, "expected IP:port, as in 10.0.0.7:7001")
		}
	}
	return s.validateLimits()
}

func (s Settings) validateLimits() error {
	switch {
	case s.Times.Store <= 0:
		return invalid("times.store", `expected a duration above 0, like "500ms"`)
	case s.Times.Drain < 0:
		return invalid("times.drain", `expected a duration of at least 0, like "2s"`)
	case time.Duration(s.Times.Stop) < time.Second:
		return invalid("times.stop", `expected a duration of at least 1s, like "6s"`)
	case s.Retries < 0:
		return invalid("retries", "expected at least 0")
	case s.Files < 256:
		return invalid("files", "expected at least 256")
	case s.Memory < 32:
		return invalid("memory", "expected at least 32 MB")
	}
	if _, err := logrus.ParseLevel(s.Log.Level); err != nil {
		return invalid("log.level", "expected debug, info, warn or error")
	}
	return nil
}

func invalid(field, reason string) error {
	return &catkinrun.InvalidError{Where: "field", Field: field, Reason: reason}
}

// withLine adds the line of the invalid field to a *catkinrun.InvalidError, if the file has
// that field.
func withLine(raw []byte, err error) error {
	var invalidErr *catkinrun.InvalidError
	if !errors.As(err, &invalidErr) {
		return err
	}
	var root yaml.Node
	if yaml.Unmarshal(raw, &root) != nil || len(root.Content) == 0 {
		return err
	}
	if line := lineOf(root.Content[0], bytes.Split([]byte(invalidErr.Field), []byte("."))); line > 0 {
		invalidErr.Where = fmt.Sprintf("line %d", line)
	}
	return invalidErr
}

// lineOf returns the line of the field at path, or of a parent that is not a mapping. It
// returns 0 if the field is absent.
func lineOf(node *yaml.Node, path [][]byte) int {
	if len(path) == 0 || node.Kind != yaml.MappingNode {
		return node.Line
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == string(path[0]) {
			return lineOf(node.Content[i+1], path[1:])
		}
	}
	return 0
}
