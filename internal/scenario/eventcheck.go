package scenario

import (
	"fmt"
	"slices"
	"time"
)

// addEvents adds the events. Everything else must be there.
func (f *scriptFile) addEvents(script *Script) error {
	for i := range f.Event {
		event := f.Event[i].event()
		if err := event.check(script, fmt.Sprintf("event[%d].", i)); err != nil {
			return err
		}
		script.Events = append(script.Events, event)
	}
	return nil
}

// event returns the event of a table. It is not checked.
func (t *eventTable) event() Event {
	return Event{
		Name:           t.Name,
		Kind:           EventKind(t.Do),
		At:             time.Duration(t.At),
		After:          t.After,
		Duration:       time.Duration(t.For),
		Group:          t.Group,
		Count:          t.Count,
		Share:          t.Share,
		Factor:         t.Factor,
		Ramp:           time.Duration(t.Ramp),
		CounterLatency: time.Duration(t.Takes),
	}
}

// check checks an event, whose keys begin with the prefix, against a script with the events before it.
func (e *Event) check(script *Script, prefix string) error {
	isTaken := slices.ContainsFunc(script.Events, func(other Event) bool { return other.Name == e.Name })
	switch {
	case e.Name == "" || isTaken:
		return invalidKey(prefix+"name", "%q is no name, or stands twice", e.Name)
	case !slices.Contains(eventKinds, e.Kind):
		return invalidKey(prefix+"do", "%q is none of %v", e.Kind, eventKinds)
	case e.At < 0 || e.Duration < 0 || e.Ramp < 0 || e.CounterLatency < 0:
		return invalidKey(prefix+"at", "or for, ramp or takes is negative")
	case e.After != "" && !script.hasEndingEvent(e.After):
		return invalidKey(prefix+"after", "no event before this one is named %q and ends", e.After)
	case e.Group != "" && !e.hasGroup(script):
		return invalidKey(prefix+"group", "there is no group %q for this", e.Group)
	case e.Count < 0 || e.Share < 0 || e.Share > 1 || e.Count > 0 && e.Share > 0:
		return invalidKey(prefix+"count", "or share is negative, the share is over 1, or both are given")
	}
	return e.checkKind(script, prefix)
}

// checkKind checks what the kind of an event needs.
func (e *Event) checkKind(script *Script, prefix string) error {
	switch {
	case (e.Kind == SlowEndpoints || e.Kind == FloodAccounts) && !(e.Factor > 0):
		return invalidKey(prefix+"factor", "is not above 0")
	case e.Kind == PauseEndpoints && e.Duration == 0:
		return invalidKey(prefix+"for", "a pause must end")
	case e.Kind == CounterSlow && e.CounterLatency == 0:
		return invalidKey(prefix+"takes", "is missing")
	case e.Kind.isOfCounter() && !script.UseCounter:
		return invalidKey(prefix+"do", "there is no counter")
	}
	return nil
}

// hasGroup says that the event's group is one that its kind can have.
func (e *Event) hasGroup(script *Script) bool {
	switch {
	case e.Kind == FloodAccounts:
		return script.hasAccountGroup(e.Group)
	case e.Kind.isOfEndpoints():
		return script.hasEndpointGroup(e.Group)
	}
	return false
}

// hasEndingEvent says that there is an event of a name that ends.
func (s *Script) hasEndingEvent(name string) bool {
	return slices.ContainsFunc(s.Events, func(e Event) bool { return e.Name == name && e.Duration > 0 })
}
