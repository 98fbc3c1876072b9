package extauthz

import (
	"errors"
	"net/http"
	"testing"

	"pgregory.net/rapid"

	"gapgap/internal/decisioncache"
)

// repeatCase has all properties by which a check is recognized.
type repeatCase struct {
	identity repeatIdentity
	id       string
}

// drawRepeatCase returns a random check with parts whose concatenations are often equal.
func drawRepeatCase(t *rapid.T, label string) repeatCase {
	part := rapid.StringMatching(`[a:/0-9]{0,4}`)
	c := repeatCase{
		identity: repeatIdentity{
			customer: part.Draw(t, label),
			target: target{
				method: part.Draw(t, label),
				scheme: part.Draw(t, label),
				host:   part.Draw(t, label),
				uri:    part.Draw(t, label),
			},
		},
		id: part.Draw(t, label) + "x",
	}
	c.identity.units = float64(rapid.IntRange(1, 2).Draw(t, label))
	return c
}

// TestForwardAuthSameness verifies that two checks have the same key only if all of their properties are equal, even if
// the concatenations of these are equal.
func TestForwardAuthSameness(t *testing.T) {
	route := &Route{Repeat: ByRequestID, RequestIDHeader: "X-Request-Id"}
	keyOf := func(c repeatCase) decisioncache.Key {
		key, ok, err := route.repeatKey(c.identity, http.Header{"X-Request-Id": {c.id}})
		if !ok || err != nil {
			t.Fatal(ok, err)
		}
		return key
	}
	rapid.Check(t, func(t *rapid.T) {
		a := drawRepeatCase(t, "a")
		b := drawRepeatCase(t, "b")
		if (keyOf(a) == keyOf(b)) != (a == b) {
			t.Fatalf("%+v and %+v", a, b)
		}
	})
	if _, ok, err := route.repeatKey(repeatIdentity{}, http.Header{}); ok || err != nil {
		t.Errorf("without an id: %v %v", ok, err)
	}
	_, _, err := route.repeatKey(repeatIdentity{}, http.Header{"X-Request-Id": {"a", "b"}})
	if !errors.Is(err, errRepeated) {
		t.Errorf("two ids: %v", err)
	}
}
