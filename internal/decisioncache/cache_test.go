package decisioncache

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func key(n int) (k Key) {
	binary.BigEndian.PutUint64(k[:], uint64(n))
	return k
}

func memory(t *testing.T, cfg Config) *Cache[int, int] {
	t.Helper()
	m, err := NewCache[int, int](cfg)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

var usual = Config{Keep: 10 * time.Second, Most: 100, PerAccount: 10, Repeats: 3}

func TestForwardAuthBoundsAreChecked(t *testing.T) {
	for _, bad := range []Config{{}, {Keep: 1, Most: 1, PerAccount: 1}, {Keep: 1, Most: 1, Repeats: 1},
		{Keep: 1, PerAccount: 2, Most: 1, Repeats: 1}, {Most: 1, PerAccount: 1, Repeats: 1}} {
		if _, err := NewCache[int, int](bad); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}

// A check that is asked again while it is open is told with the first; afterwards it gets the verdict, for as long
// as that is kept and as often as may be.
func TestForwardAuthJoinAndRepeat(t *testing.T) {
	m := memory(t, usual)
	e, s := m.Lookup(0, "a", key(1), 1)
	if s != New {
		t.Fatal(s)
	}
	if _, s := m.Lookup(1, "a", key(1), 2); s != Open {
		t.Errorf("an open check: %v", s)
	}
	if _, s := m.Lookup(1, "b", key(1), 9); s != New {
		t.Errorf("another account's check of that key: %v", s)
	}
	if who := m.Complete(2, e, 7, time.Hour); !slices.Equal(who, []int{2}) {
		t.Errorf("told %v", who)
	}
	if who := m.Complete(2, e, 8, time.Hour); who != nil || m.Decision(e) != 7 {
		t.Errorf("settled twice: told %v, %d", who, m.Decision(e))
	}
	for range 2 {
		if e, s := m.Lookup(3, "a", key(1), 3); s != Given || m.Decision(e) != 7 {
			t.Errorf("a settled check: %v", s)
		}
	}
	if e, s := m.Lookup(4, "a", key(1), 4); s != Worn || m.TTL(4, e) != usual.Keep-2 { // asked too often
		t.Errorf("a worn check: %v", s)
	}
	if _, s := m.Lookup(2+usual.Keep, "a", key(1), 4); s != New {
		t.Errorf("a worn check that is forgotten: %v", s)
	}
	e, _ = m.Lookup(5, "a", key(2), 1)
	m.Complete(5, e, 1, time.Second)
	if _, s := m.Lookup(5+time.Second, "a", key(2), 1); s != New {
		t.Errorf("one that was kept for a second: %v", s)
	}
	e, _ = m.Lookup(6, "a", key(3), 1)
	m.Complete(6, e, 1, 0)
	if _, s := m.Lookup(6, "a", key(3), 1); s != New {
		t.Errorf("one that was not to be kept: %v", s)
	}
}

// A flood of one account, settled or left open, takes no verdict of another's.
func TestForwardAuthFloodPushesOutItsOwn(t *testing.T) {
	for _, settle := range []bool{true, false} {
		m := memory(t, usual)
		for i := range 9 {
			e, _ := m.Lookup(0, "quiet", key(i), 0)
			m.Complete(0, e, i, time.Hour)
		}
		for i := range 5000 {
			e, s := m.Lookup(1, "loud", key(i), 0)
			if s == New && settle {
				m.Complete(1, e, i, time.Hour)
			}
		}
		kept := 0
		for i := range 9 {
			if e, s := m.Lookup(3, "quiet", key(i), 0); s == Given && m.Decision(e) == i {
				kept++
			}
		}
		if settle && m.Figures.Forgotten == 0 || !settle && m.Figures.Unwatched == 0 {
			t.Errorf("settle %v: nothing was pushed out: %+v", settle, m.Figures)
		}
		if m.Len() > usual.Most || m.Of("loud") > usual.PerAccount {
			t.Errorf("%d remembered, %d of one account", m.Len(), m.Of("loud"))
		}
		if kept != 9 {
			t.Errorf("settle %v: %d of 9 verdicts kept", settle, kept)
		}
	}
	m := memory(t, usual)
	e, _ := m.Lookup(0, "quiet", key(1), 0)
	m.Complete(0, e, 1, time.Hour)
	for i := range 100_000 {
		if e, s := m.Lookup(1, fmt.Sprint("loud", i%3), key(i), 0); s == New {
			m.Complete(1, e, i, time.Hour)
		}
	}
	if _, s := m.Lookup(2, "quiet", key(1), 0); s != Given {
		t.Errorf("three floods pushed a quiet account's verdict out")
	}
}

// Against a plain model, which keeps all: what the memory tells is what was decided, within its time; who waits is told
// once; and no bound is passed.
func TestForwardAuthMemoryAgainstModel(t *testing.T) {
	type check struct {
		account string
		key     int
	}
	type fact struct {
		verdict int
		until   time.Duration
		told    int
	}
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Keep: time.Duration(rapid.IntRange(1, 20).Draw(t, "keep")),
			PerAccount: rapid.IntRange(1, 4).Draw(t, "per account"), Repeats: rapid.IntRange(1, 3).Draw(t, "repeats")}
		cfg.Most = cfg.PerAccount + rapid.IntRange(0, 6).Draw(t, "more")
		m, err := NewCache[int, int](cfg)
		if err != nil {
			t.Fatal(err)
		}
		facts := map[check]*fact{}
		open := map[check]Entry{}
		waiting := map[check][]int{}
		var now time.Duration
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "gap"))
			c := check{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), rapid.IntRange(0, 5).Draw(t, "key")}
			if e, ok := open[c]; ok && rapid.Bool().Draw(t, "settle") {
				keep := time.Duration(rapid.IntRange(0, 25).Draw(t, "for"))
				if who := m.Complete(now, e, step, keep); !slices.Equal(who, waiting[c]) {
					t.Fatalf("told %v, waiting %v", who, waiting[c])
				}
				facts[c] = &fact{verdict: step, until: now + min(keep, cfg.Keep), told: len(waiting[c])}
				delete(open, c)
				delete(waiting, c)
				continue
			}
			switch e, s := m.Lookup(now, c.account, key(c.key), step); s {
			case New:
				if _, ok := open[c]; ok {
					t.Fatal("an open check is new")
				}
				open[c], waiting[c] = e, nil
				delete(facts, c)
			case Open:
				if o, ok := open[c]; !ok || o != e {
					t.Fatal("joined what is not open")
				}
				if waiting[c] = append(waiting[c], step); len(waiting[c]) > cfg.Repeats {
					t.Fatal("joined too often")
				}
			case Given:
				f := facts[c]
				if f == nil || f.until <= now || m.Decision(e) != f.verdict {
					t.Fatalf("told %d, which was not decided or is too old", m.Decision(e))
				}
				if f.told++; f.told > cfg.Repeats {
					t.Fatal("told too often")
				}
			case Worn:
				if f := facts[c]; f != nil && (f.told < cfg.Repeats || f.until <= now) || f == nil && len(waiting[c]) < cfg.Repeats {
					t.Fatal("turned away too early")
				}
			case Unwatched:
				if _, ok := open[c]; !ok && m.Of(c.account) < cfg.PerAccount && m.Len() < cfg.Most {
					t.Fatal("there is room")
				}
			}
			n := 0
			for _, a := range []string{"a", "b", "c"} {
				if m.Of(a) > cfg.PerAccount {
					t.Fatalf("%d of one account", m.Of(a))
				}
				n += m.Of(a)
			}
			if n != m.Len() || n > cfg.Most || len(m.find) != n || m.made > cfg.Most || m.bySize.Len() != len(m.names) ||
				len(m.names) != len(m.numbers) || len(m.waiting) > len(open) {
				t.Fatalf("%d remembered; counted %d, %d found, %d slots", n, m.Len(), len(m.find), m.made)
			}
		}
	})
}
