package commander_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/commander"
	"github.com/catkinrun/catkinrun/daemon"
	"github.com/catkinrun/catkinrun/locator"
	"github.com/catkinrun/catkinrun/platform"
	standin "github.com/catkinrun/catkinrun/standin/platform"
)

func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// TestApplyAfterRestoreWritesALaterVersion applies a declaration to a restored store while a daemon
// has a later version in force than the store shows. The daemon would ignore the next version of the store.
func TestApplyAfterRestoreWritesALaterVersion(t *testing.T) {
	is := is.New(t)
	store := standin.New(clock.System{}, standin.Limits{})
	storeServer := httptest.NewServer(store.Handler())
	defer storeServer.Close()
	operator := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(daemon.Status{Host: "h", Version: 12})
	}))
	defer operator.Close()
	client := platform.NewStore(storeServer.Listener.Addr().String(), http.DefaultClient, time.Second, discardLog())
	row, err := json.Marshal(catkinrun.Member{Host: "h", Peer: "h", Operator: operator.Listener.Addr().String()})
	is.NoErr(err)
	_, err = client.Commit(t.Context(), catkinrun.Transaction{Writes: []catkinrun.Write{{Table: locator.Table, Key: locator.Key("h"), Value: row}}})
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "teams.yaml")
	is.NoErr(os.WriteFile(path, []byte("kind: team\nname: a\nteam:\n  rate: 5\n  burst: 5\n"), 0o600))
	var out bytes.Buffer
	is.Equal(commander.Run([]string{"apply", "-f", path, "--store", storeServer.Listener.Addr().String()}, &out, &out), 0)
	page, err := client.List(t.Context(), platform.ConfigurationTable)
	is.NoErr(err)
	data, err := platform.DecodeConfiguration(page.Rows[0].Value)
	is.NoErr(err)
	is.Equal(data.Version, catkinrun.Version(13))
}
