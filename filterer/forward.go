package filterer

import (
	"context"
	"strconv"

	"github.com/catkinrun/catkinrun"
	"github.com/catkinrun/catkinrun/exchanger"
	"github.com/catkinrun/catkinrun/registrar"
	"github.com/catkinrun/catkinrun/tracker"
)

type forward struct {
	server    *exchanger.Exchanger
	registrar *registrar.Registrar
	tracker   *tracker.Tracker
}

func newForward(p *Parts) catkinrun.Filter {
	return &forward{server: p.Server, registrar: p.Registrar, tracker: p.Tracker}
}

// Process runs the request on the server beside this daemon. The server learns a
// call handle and the time left, nothing else of the envelope.
func (f *forward) Process(ctx context.Context, c *catkinrun.Call, _ catkinrun.Handler) error {
	server, _ := f.registrar.Server()
	ctx, cancel := context.WithCancel(ctx)
	handle, running := f.tracker.Start(ctx, c.Envelope)
	end := func() {
		f.tracker.End(handle)
		cancel()
	}
	request := exchanger.Request(ctx, c, "http", server.Address, "")
	dropOwnHeaders(request.Header)
	request.Header.Set(HandleHeader, handle)
	request.Header.Set(TimeoutHeader, strconv.FormatInt(c.Envelope.TimeLeft.Milliseconds(), 10))
	answer, err := f.server.Do(request)
	if err != nil {
		end()
		return err
	}
	dropOwnHeaders(answer.Header)
	answer.Level = running.Level()
	answer.Unspent = running.Allowance()
	answer.OnEnd(func(bool) { end() })
	c.Answer = answer
	return nil
}
