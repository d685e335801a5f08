// Package loader reads and checks a daemon's settings.
package loader

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/yaml.v3"

	"github.com/catkinrun/catkinrun"
)

// Settings are what a daemon must know of itself and how to reach the platform.
type Settings struct {
	Host      string     `yaml:"host"`      // unique name of the host
	Zone      string     `yaml:"zone"`      // availability zone
	Platform  string     `yaml:"platform"`  // http URL of the platform's store
	FleetKey  string     `yaml:"fleet-key"` // shared by all daemons
	Listen    Listen     `yaml:"listen"`
	TLS       TLS        `yaml:"tls"`
	Operators []Operator `yaml:"operators"`
	Times     Times      `yaml:"times"`
	Log       Log        `yaml:"log"`
}

// Listen has the addresses, IP and port, of the daemon's listeners.
type Listen struct {
	Caller   string `yaml:"caller"`
	Local    string `yaml:"local"`
	Peer     string `yaml:"peer"`
	Operator string `yaml:"operator"`
}

// TLS names the files of the listeners' certificates. Peers check each other
// against CA; callers and operators are served with the same certificate.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	CA          string `yaml:"ca"`
}

// Enabled reports whether TLS is set up.
func (t TLS) Enabled() bool { return t != TLS{} }

// Role is what an operator may do.
type Role string

// The roles.
const (
	Reader Role = "reader"
	Editor Role = "editor"
)

// Operator is one operator's credential, kept as the SHA-256 of a token in hex.
type Operator struct {
	Name  string `yaml:"name"`
	Role  Role   `yaml:"role"`
	Token string `yaml:"token-sha256"`
}

// Times are the daemon's periods and limits.
type Times struct {
	Pull      catkinrun.Duration `yaml:"pull"`      // between exchanges with parents
	Proof     catkinrun.Duration `yaml:"proof"`     // age up to which a proof of currency counts
	Silence   catkinrun.Duration `yaml:"silence"`   // after which a host is taken off the roster
	Share     catkinrun.Duration `yaml:"share"`     // between exchanges with brokers
	Retention catkinrun.Duration `yaml:"retention"` // of idempotency records
	Drain     catkinrun.Duration `yaml:"drain"`     // between leaving and closing
	Store     catkinrun.Duration `yaml:"store"`     // longest wait for the platform's store
}

// Log switches each part's debug lines on.
type Log struct {
	Level string   `yaml:"level"` // info, debug, warn or error
	Debug []string `yaml:"debug"` // parts whose debug lines are written
}

// Defaults returns the settings that a file may leave out.
func Defaults() Settings {
	return Settings{
		Times: Times{
			Pull:      catkinrun.Duration(500 * time.Millisecond),
			Proof:     catkinrun.Duration(4 * time.Second),
			Silence:   catkinrun.Duration(6 * time.Second),
			Share:     catkinrun.Duration(250 * time.Millisecond),
			Retention: catkinrun.Duration(15 * time.Minute),
			Drain:     catkinrun.Duration(3 * time.Second),
			Store:     catkinrun.Duration(2 * time.Second),
		},
		Log: Log{Level: "info"},
	}
}

// FileError reports settings that cannot be used: file, line if known, field and
// what is expected.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("settings %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// Load reads the settings in a file; it fails with *FileError.
func Load(file string) (Settings, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &FileError{File: file, Cause: err}
	}
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
	named := []struct{ field, value string }{
		{"host", s.Host},
		{"zone", s.Zone},
		{"platform", s.Platform},
		{"fleet-key", s.FleetKey},
	}
	for _, n := range named {
		if n.value == "" {
			return invalid(n.field, "missing")
		}
	}
	addresses := []struct{ field, value string }{
		{"listen.caller", s.Listen.Caller},
		{"listen.local", s.Listen.Local},
		{"listen.peer", s.Listen.Peer},
		{"listen.operator", s.Listen.Operator},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return invalid(a.field, "expected IP:port, as in 10.0.0.7:7001")
		}
	}
	if err := s.validateTimes(); err != nil {
		return err
	}
	return s.validateOperators()
}

func (s Settings) validateTimes() error {
	times := []struct {
		field string
		value catkinrun.Duration
	}{
		{"times.pull", s.Times.Pull},
		{"times.proof", s.Times.Proof},
		{"times.silence", s.Times.Silence},
		{"times.share", s.Times.Share},
		{"times.retention", s.Times.Retention},
		{"times.drain", s.Times.Drain},
		{"times.store", s.Times.Store},
	}
	for _, t := range times {
		if t.value <= 0 {
			return invalid(t.field, `expected a duration above 0, like "500ms"`)
		}
	}
	if s.Times.Proof < 4*s.Times.Pull {
		return invalid("times.proof", "expected at least four times times.pull")
	}
	if s.TLS.Enabled() && (s.TLS.Certificate == "" || s.TLS.Key == "" || s.TLS.CA == "") {
		return invalid("tls", "expected certificate, key and ca, or none of them")
	}
	return nil
}

func (s Settings) validateOperators() error {
	const hashLength = 64 // hex digits of SHA-256
	for i, o := range s.Operators {
		field := fmt.Sprintf("operators[%d]", i)
		if o.Name == "" || len(o.Token) != hashLength {
			return invalid(field, "expected name, role and token-sha256 (64 hex digits)")
		}
		if o.Role != Reader && o.Role != Editor {
			return invalid(field+".role", "expected reader or editor")
		}
	}
	return nil
}

func invalid(field, reason string) error {
	return &catkinrun.InvalidError{Where: "field", Field: field, Reason: reason}
}

// withLine adds the line of the field that an error names, if the file has it.
func withLine(raw []byte, err error) error {
	var bad *catkinrun.InvalidError
	if !errors.As(err, &bad) {
		return err
	}
	var root yaml.Node
	if yaml.Unmarshal(raw, &root) != nil || len(root.Content) == 0 {
		return err
	}
	if line := lineOf(root.Content[0], bytes.Split([]byte(bad.Field), []byte("."))); line > 0 {
		bad.Where = fmt.Sprintf("line %d", line)
	}
	return bad
}

// lineOf returns the line of the field at path, or of its nearest parent.
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
