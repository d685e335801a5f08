package retrier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/catkinrun/catkinrun/retrier"
)

func TestLimitFollowsWhatIsUsual(t *testing.T) {
	is := is.New(t)
	p := retrier.NewPatience()
	_, ok := p.Limit("read", time.Second)
	is.True(!ok)
	for i := range 200 {
		p.Took("read", time.Duration(80+i%41)*time.Millisecond)
	}
	limit, ok := p.Limit("read", 400*time.Millisecond)
	is.True(ok)
	is.True(limit > 120*time.Millisecond && limit < 200*time.Millisecond)
	limit, _ = p.Limit("read", time.Minute)
	is.Equal(limit, 15*time.Second) // no hurry
	for range 200 {
		p.Took("read", 5*time.Second)
	}
	limit, _ = p.Limit("read", 400*time.Millisecond)
	is.Equal(limit, 400*time.Millisecond)
}
