package relayer

import (
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// storeName stands for the store in the list of attempts.
const storeName = "store"

// attempts are the daemons that one watch of a table has asked in turn, and the store if it was asked at last.
type attempts struct {
	table string
	list  []attempt
	cause error // of the last failure
}

// attempt is one request for the changes of a table.
type attempt struct {
	to  string
	age time.Duration // of the requesting daemon's rows when it was sent
	err error
}

func (a *attempts) add(to string, age time.Duration, err error) {
	a.list = append(a.list, attempt{to: to, age: age, err: err})
	if err != nil {
		a.cause = err
	}
}

// String lists where and at which age of the rows the changes were asked for.
func (a *attempts) String() string {
	texts := make([]string, 0, len(a.list))
	for _, x := range a.list {
		texts = append(texts, fmt.Sprintf("%s at %d ms", x.to, x.age.Milliseconds()))
	}
	return strings.Join(texts, ", ")
}

// logLate logs how a watch has passed whose rows had become older than they usually do, so that the log of one daemon
// shows where the time has gone. It logs nothing if the last attempt began earlier.
func (r *Relayer) logLate(a *attempts) {
	last := a.list[len(a.list)-1]
	if len(a.list) == 1 || last.age < confirmInterval {
		return
	}
	fields := logrus.Fields{"table": a.table, "attempts": a.String(), "age_ms": r.Age(a.table).Milliseconds()}
	r.log.WithError(last.err).WithFields(fields).Info("relayer: rows came late")
}
