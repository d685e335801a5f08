package observer

import "github.com/catkinrun/catkinrun"

// Locator lists the hosts that serve a service, by what the members table says.
type Locator interface {
	Serving(service string) []catkinrun.Member
}

// Members lists the hosts that serve a service without those whose server has stated that it is
// leaving. The members table may not say so yet, or not any more.
type Members struct {
	locator  Locator
	observer *Observer
}

// NewMembers returns the members of a locator as an observer knows them.
func NewMembers(locator Locator, observer *Observer) Members {
	return Members{locator: locator, observer: observer}
}

// Serving returns the members that accept new requests of a service. The caller must not modify
// the list.
func (m Members) Serving(service string) []catkinrun.Member {
	return m.observer.withoutLeaving(m.locator.Serving(service))
}
