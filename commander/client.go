package commander

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/daemon"
	"github.com/catkinrun/catkinrun/dialer"
	"github.com/catkinrun/catkinrun/platform"
)

const (
	// storeEnvVar is the environment variable with the default of the --store flag.
	storeEnvVar = "CATKINRUN_STORE"
	// callTimeout bounds one call to the store or to a daemon.
	callTimeout = 5 * time.Second
	// defaultWaitTimeout bounds the wait until a change is in force at every daemon.
	defaultWaitTimeout = 30 * time.Second
	// idleTimeout closes idle connections, and maxIdleConns bounds them per address.
	idleTimeout  = 30 * time.Second
	maxIdleConns = 2
	// pollInterval is the time between two polls of the daemons while a command waits.
	pollInterval = 250 * time.Millisecond
	// maxSampled is the number of daemons that are asked for the version in force before a change, and
	// sampleTimeout bounds the wait for them.
	maxSampled    = 16
	sampleTimeout = time.Second
)

// client calls the store and the daemons. It fails for the same responses as the client of a daemon.
var client = &http.Client{Transport: dialer.Transport(callTimeout, idleTimeout, maxIdleConns)}

// storeClient reads and writes the store on behalf of operators' commands.
type storeClient struct {
	address string
}

func (s *storeClient) addFlag(c *cobra.Command) {
	c.Flags().StringVar(&s.address, "store", os.Getenv(storeEnvVar), "IP:port of the store (default $"+storeEnvVar+")")
}

func (s *storeClient) store() (catkinrun.Store, error) {
	if s.address == "" {
		return nil, &UsageError{Cause: &catkinrun.InvalidError{Where: "flag", Field: "store", Reason: "set --store or " + storeEnvVar}}
	}
	return platform.NewStore(s.address, client, callTimeout, discardLog()), nil
}

// discardLog returns the log of a command, whose output goes to its terminal.
func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// configuration is the configuration that was read, with its row as stored.
type configuration struct {
	data catkinrun.SnapshotData
	row  catkinrun.Row
}

func (s *storeClient) readConfiguration(ctx context.Context) (configuration, error) {
	store, err := s.store()
	if err != nil {
		return configuration{}, err
	}
	page, err := store.List(ctx, platform.ConfigurationTable)
	if err != nil {
		return configuration{}, err
	}
	for _, row := range page.Rows {
		if row.Key == platform.ConfigurationKey {
			data, err := platform.DecodeConfiguration(row.Value)
			return configuration{data: data, row: row}, err
		}
	}
	return configuration{}, nil
}

// writeConfiguration replaces the current configuration with its next version, which
// holds the given resources. It fails with *catkinrun.ConflictError if another operator
// has changed the configuration since it was read, and with *UnknownResultError if no
// response of the store arrived.
func (s *storeClient) writeConfiguration(ctx context.Context, current configuration, resources []catkinrun.Resource) (catkinrun.Version, error) {
	store, err := s.store()
	if err != nil {
		return 0, err
	}
	inForce, err := s.versionInForce(ctx)
	if err != nil {
		return 0, err
	}
	data := catkinrun.SnapshotData{Version: max(current.data.Version, inForce) + 1, Resources: resources}
	if err := data.Validate(); err != nil {
		return 0, err
	}
	raw, err := platform.EncodeConfiguration(data, current.row.Value)
	if err != nil {
		return 0, err
	}
	_, err = store.Commit(ctx, catkinrun.Transaction{
		Preconditions: []catkinrun.Precondition{{Table: platform.ConfigurationTable, Key: platform.ConfigurationKey, Revision: current.row.Revision}},
		Writes:        []catkinrun.Write{{Table: platform.ConfigurationTable, Key: platform.ConfigurationKey, Value: raw}},
	})
	var preconditionErr *catkinrun.PreconditionError
	var storeErr *catkinrun.StoreError
	switch {
	case errors.As(err, &preconditionErr):
		latest, readErr := platform.DecodeConfiguration(preconditionErr.Current.Value)
		if readErr != nil {
			return 0, readErr
		}
		return 0, &catkinrun.ConflictError{Base: current.data.Version, Current: latest.Version}
	case errors.As(err, &storeErr) && storeErr.Status == 0:
		return 0, &UnknownResultError{Version: data.Version, Cause: err}
	}
	return data.Version, err
}

// versionInForce returns the highest version in force at some of the daemons, 0 if none responds. After
// the store has been restored from a backup, it may be higher than the version in the store, and
// daemons ignore versions that are not higher than theirs.
func (s *storeClient) versionInForce(ctx context.Context) (catkinrun.Version, error) {
	sample, err := s.listMembers(ctx)
	if err != nil {
		return 0, err
	}
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	sample = sample[:min(len(sample), maxSampled)]
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	versions := make([]catkinrun.Version, len(sample))
	var polls sync.WaitGroup
	for i, m := range sample {
		polls.Go(func() {
			if status, err := fetchStatus(ctx, m); err == nil {
				versions[i] = status.Version
			}
		})
	}
	polls.Wait()
	return slices.Max(append(versions, 0)), nil
}

// UnknownResultError reports a change that may or may not have been written.
type UnknownResultError struct {
	Version catkinrun.Version
	Cause   error
}

func (e *UnknownResultError) Error() string {
	return "result unknown; read the configuration before retrying the change: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownResultError) Unwrap() error { return e.Cause }

// DaemonError reports a daemon whose status could not be read.
type DaemonError struct {
	Host  string
	Cause error
}

func (e *DaemonError) Error() string { return "daemon of " + e.Host + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DaemonError) Unwrap() error { return e.Cause }

// StatusError is an unsuccessful response of a daemon.
type StatusError struct {
	Text string
}

func (e *StatusError) Error() string { return "the daemon responded with " + e.Text }

// fetchStatus returns a daemon's status. It fails with *DaemonError.
func fetchStatus(ctx context.Context, m catkinrun.Member) (daemon.Status, error) {
	var status daemon.Status
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Operator+"/v1/status", nil)
	if err != nil {
		return status, &DaemonError{Host: m.Host, Cause: err}
	}
	response, err := client.Do(request)
	if err != nil {
		return status, &DaemonError{Host: m.Host, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, &DaemonError{Host: m.Host, Cause: &StatusError{Text: response.Status}}
	}
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return status, &DaemonError{Host: m.Host, Cause: err}
	}
	return status, nil
}
