package commander

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/daemon"
	"github.com/catkinrun/catkinrun/platform"
)

const (
	// storeVariable names the store's address where the flag does not.
	storeVariable = "CATKINRUN_STORE"
	// callTimeout bounds one call to the store or to a daemon.
	callTimeout = 5 * time.Second
	// defaultPatience is the longest wait for a change to come into force everywhere.
	defaultPatience = 30 * time.Second
	// lookEvery is the time between two looks at the daemons.
	lookEvery = 250 * time.Millisecond
)

// target is the store that operators' commands read and write.
type target struct {
	address string
}

func (t *target) flag(c *cobra.Command) {
	c.Flags().StringVar(&t.address, "store", os.Getenv(storeVariable), "IP:port of the platform's store (default $"+storeVariable+")")
}

func (t *target) store() (catkinrun.Store, error) {
	if t.address == "" {
		return nil, &UsageError{Cause: &catkinrun.InvalidError{Where: "flag", Field: "store", Reason: "set --store or " + storeVariable}}
	}
	return platform.NewStore(t.address, http.DefaultClient, callTimeout), nil
}

// configuration is the operators' row as it was read.
type configuration struct {
	data     catkinrun.SnapshotData
	revision catkinrun.Revision
}

func (t *target) read(ctx context.Context) (configuration, error) {
	store, err := t.store()
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
			return configuration{data: data, revision: row.Revision}, err
		}
	}
	return configuration{}, nil
}

// write replaces the configuration that was read by one with other resources. It fails
// with *catkinrun.ConflictError if another operator was faster, and with
// *UnknownResultError if the store's answer was lost.
func (t *target) write(ctx context.Context, before configuration, resources []catkinrun.Resource) (catkinrun.Version, error) {
	store, err := t.store()
	if err != nil {
		return 0, err
	}
	data := catkinrun.SnapshotData{Version: before.data.Version + 1, Resources: resources}
	if err := data.Validate(); err != nil {
		return 0, err
	}
	raw, err := platform.EncodeConfiguration(data)
	if err != nil {
		return 0, err
	}
	_, err = store.Commit(ctx, catkinrun.Transaction{
		Checks: []catkinrun.Check{{Table: platform.ConfigurationTable, Key: platform.ConfigurationKey, Revision: before.revision}},
		Writes: []catkinrun.Write{{Table: platform.ConfigurationTable, Key: platform.ConfigurationKey, Value: raw}},
	})
	var changed *catkinrun.CheckError
	var failed *catkinrun.StoreError
	switch {
	case errors.As(err, &changed):
		now, readErr := platform.DecodeConfiguration(changed.Current.Value)
		if readErr != nil {
			return 0, readErr
		}
		return 0, &catkinrun.ConflictError{Replace: before.data.Version, Current: now.Version}
	case errors.As(err, &failed) && failed.Status == 0:
		return 0, &UnknownResultError{Version: data.Version, Cause: err}
	}
	return data.Version, err
}

// UnknownResultError reports a change whose result is not known.
type UnknownResultError struct {
	Version catkinrun.Version
	Cause   error
}

func (e *UnknownResultError) Error() string {
	return "result unknown, read the configuration before you repeat the change: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownResultError) Unwrap() error { return e.Cause }

// DaemonError reports a daemon that did not answer a question.
type DaemonError struct {
	Host  string
	Cause error
}

func (e *DaemonError) Error() string { return "daemon of " + e.Host + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DaemonError) Unwrap() error { return e.Cause }

// ask returns a daemon's status; it fails with *DaemonError.
func ask(ctx context.Context, m catkinrun.Member) (daemon.Status, error) {
	var status daemon.Status
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Operator+"/v1/status", nil)
	if err != nil {
		return status, &DaemonError{Host: m.Host, Cause: err}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, &DaemonError{Host: m.Host, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return status, &DaemonError{Host: m.Host, Cause: err}
	}
	return status, nil
}
