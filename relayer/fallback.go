package relayer

import (
	"context"
	"time"

	"github.com/catkinrun/catkinrun"
)

// fallback is a watch of the store by a daemon that no watcher has current rows for. It asks the standby at the same time:
// the standby has called the store earlier, and a first call may take long.
type fallback struct {
	relayer  *Relayer
	table    string
	after    catkinrun.Revision
	startAge time.Duration // of the rows
	source   string        // of the result
	store    chan fallbackResult
	standby  chan fallbackResult
}

type fallbackResult struct {
	page catkinrun.Page
	err  error
}

func newFallback(r *Relayer, table string, after catkinrun.Revision) *fallback {
	return &fallback{relayer: r, table: table, after: after, startAge: r.Age(table), source: storeName, store: make(chan fallbackResult, 1), standby: make(chan fallbackResult, 1)}
}

// watch returns the response of the store, or that of the standby if it has current rows earlier. The standby itself has
// none to ask.
func (f *fallback) watch(ctx context.Context, wait time.Duration, standby catkinrun.Member) (catkinrun.Page, error) {
	if standby.Host == "" {
		return f.relayer.watchStore(ctx, f.table, f.after, wait)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.runStore(ctx, wait)
	go f.runStandby(ctx, standby)
	select {
	case x := <-f.store:
		return x.page, x.err
	case x := <-f.standby:
		if x.err == nil {
			f.source = standby.Host
			return x.page, nil
		}
	}
	x := <-f.store
	return x.page, x.err
}

func (f *fallback) runStore(ctx context.Context, wait time.Duration) {
	page, err := f.relayer.watchStore(ctx, f.table, f.after, wait)
	f.store <- fallbackResult{page, err}
}

func (f *fallback) runStandby(ctx context.Context, standby catkinrun.Member) {
	request := &Request{Table: f.table, After: f.after, Age: f.relayer.Age(f.table), Gain: turnGain, Relayed: true}
	page, err := f.relayer.askWatcher(ctx, standby, request, holdTime)
	f.standby <- fallbackResult{page, err}
}
