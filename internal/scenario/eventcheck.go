package scenario

import (
	"fmt"
	"slices"
	"time"
)

// addEvents checks the events and adds them. All other parts of the script must have been added.
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

// event returns the event of a table, unchecked.
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

// check checks an event, whose keys begin with the prefix. The script must hold the events before it.
func (e *Event) check(script *Script, prefix string) error {
	isTaken := slices.ContainsFunc(script.Events, func(other Event) bool { return other.Name == e.Name })
	switch {
	case e.Name == "" || isTaken:
		return invalidKey(prefix+"name", "name %q is empty or already used", e.Name)
	case !slices.Contains(eventKinds, e.Kind):
		return invalidKey(prefix+"do", "unknown kind %q: must be one of %v", e.Kind, eventKinds)
	case e.At < 0 || e.Duration < 0 || e.Ramp < 0 || e.CounterLatency < 0:
		return invalidKey(prefix+"at", "at, for, ramp and takes must not be negative")
	case e.After != "" && !script.hasEndingEvent(e.After):
		return invalidKey(prefix+"after", "no earlier event with an end is named %q", e.After)
	case e.Group != "" && !e.hasGroup(script):
		return invalidKey(prefix+"group", "group %q does not exist for this kind of event", e.Group)
	case e.Count < 0 || e.Share < 0 || e.Share > 1 || e.Count > 0 && e.Share > 0:
		return invalidKey(prefix+"count",
			"count and share must not be negative, share not above 1, and only one of them may be set")
	}
	return e.checkKind(script, prefix)
}

// checkKind checks the values that the kind of the event requires.
func (e *Event) checkKind(script *Script, prefix string) error {
	switch {
	case (e.Kind == SlowEndpoints || e.Kind == FloodAccounts) && !(e.Factor > 0):
		return invalidKey(prefix+"factor", "must be above 0")
	case e.Kind == PauseEndpoints && e.Duration == 0:
		return invalidKey(prefix+"for", "must be above 0 for a pause")
	case e.Kind == CounterSlow && e.CounterLatency == 0:
		return invalidKey(prefix+"takes", "is required")
	case e.Kind.isOfCounter() && !script.UseCounter:
		return invalidKey(prefix+"do", "the script has no counter")
	}
	return nil
}

// hasGroup reports whether the event's group exists and its kind can target it.
func (e *Event) hasGroup(script *Script) bool {
	switch {
	case e.Kind == FloodAccounts:
		return script.hasAccountGroup(e.Group)
	case e.Kind.isOfEndpoints():
		return script.hasEndpointGroup(e.Group)
	}
	return false
}

// hasEndingEvent reports whether the script has an event with the given name that ends before the run does.
func (s *Script) hasEndingEvent(name string) bool {
	return slices.ContainsFunc(s.Events, func(e Event) bool { return e.Name == name && e.Duration > 0 })
}
