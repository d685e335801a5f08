package journaler_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/catkinrun/catkinrun/clock"
	"github.com/catkinrun/catkinrun/journaler"
)

func TestVolumeIsBoundedAndCounted(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	j := journaler.New(clock.NewFake(), &out, logrus.InfoLevel)
	for range 10000 {
		j.LogServed(logrus.Fields{"request": "r"}, "served")
		j.LogFailed(logrus.Fields{"request": "r"}, "failed")
	}
	j.Flush()
	is.Equal(bytes.Count(out.Bytes(), []byte(`"served"`)), 20)
	is.Equal(bytes.Count(out.Bytes(), []byte(`"failed"`)), 200)
	is.Equal(j.Dropped(), uint64(20000-220))
}

func TestWriteNeverBlocks(t *testing.T) {
	is := is.New(t)
	j := journaler.New(clock.NewFake(), &bytes.Buffer{}, logrus.InfoLevel)
	for range 10000 { // nothing drains the buffer
		j.Logger().Info("line")
	}
	is.True(j.Dropped() > 0)
}
