package wire

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"gapgap/internal/balancer"
)

const provision = "PROVISION door/3 51 peers-total=2 rank=0 resolution-us=2000 discovery=pushed new.key=x " +
	"limits.max-attempts=3 limits.cancel=true classes.count=1 classes.0.effect=keyed classes.0.group=cell " +
	"classes.0.target-us=500000 classes.0.worth=3.0 tiers-of-service.count=1 tiers-of-service.0.units-per-s=1.9\n"

func read(text string) ([]*Batch, error) {
	r := NewReader(strings.NewReader(text))
	var all []*Batch
	for {
		b, err := r.Next()
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, b)
	}
}

// TestGoodLines verifies that lines of every kind are parsed, with defaults for fields that are left out.
func TestGoodLines(t *testing.T) {
	got, err := read("CLOCK 8412250 12\n" + provision + "CENSUS 0 2\nBACKEND 10.18.74.7:8003 0 0 0 in_service 1 -\n" +
		"BACKEND 10.18.74.7:8044 0 0 1 terminating 1.5 6100000\nVIEW door/3 cached 41 0\n" +
		"ACCEPT door/3 1564119492 0 0 u:kd6b 240000 2 3 1 1\nACCEPT door/3 7 0 0 u:x 240000\n" +
		"VERDICT door/3 7 0 10.18.74.7:8003 1 18500 1 86 3 7,0.62\nVERDICT door/3 7 1 10.18.74.7:8003 3 18500 0 - -\n" +
		"COUNT_RESULT door/3 9041552 1 38 2150\nCOUNT_RESULT door/3 9041552 3 - 2150\nREMINDER door/3 77\n" +
		"ABORTED door/5 24\nFIRST_BYTE door/3 7 10.18.74.7:8003 0 20\nCHECKED door/3 100 1 10.18.74.7:8003 4,new\n" +
		"FROM_PEER door/3 1 6869\nVIEW door/3 failed 41 -\nSTOP door/3\nEOF_BATCH\n\nCLOCK 8412260 13\nEOF_BATCH\n")
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != 2 || got[0].Now != 8412250*time.Microsecond || got[1].Seq != "13" {
		t.Fatalf("batches: %+v", got)
	}
	it := got[0].Items
	set := it[0].Settings
	if set.Gateways != 2 || set.Classes[0].Idempotency != balancer.IdempotentByKey ||
		set.Classes[0].DedupScope != balancer.DedupCell || set.Classes[0].LatencyObjective != 500*time.Millisecond ||
		set.Plans[0].Rate != 1.9 || !set.AllowCancel {
		t.Errorf("settings: %+v", set)
	}
	list := it[1].Event.(balancer.EndpointUpdate)
	if len(list.Entries) != 2 || list.Entries[1].State != balancer.Draining ||
		list.Entries[1].StartedAt != 6100*time.Millisecond {
		t.Errorf("list: %+v", list)
	}
	if r := it[3].Event.(balancer.Request); r.Units != 1 || r.Gateways != 0 {
		t.Errorf("fields left out: %+v", r)
	}
	if o := it[4].Event.(balancer.AttemptResult); o.Status != balancer.OK || !o.RequestClosed || o.QuotaUsed != 86 ||
		o.Units != 3 {
		t.Errorf("attempt result: %+v", o)
	}
}

var badLines = []string{
	"NONSENSE door/3 1", "ACCEPT door/3", "ACCEPT door/3 x 0 0 u:a 1", "ACCEPT door/3 1 0 0 - 5",
	"ACCEPT door/3 1 0 0 u:a 1 nan", "VERDICT door/3 7 0 b 9 1 1", "VERDICT door/3 7 0 b 1 1 maybe",
	"COUNT_RESULT door/3 1 1 - 5", "VIEW door/3 odd 1 0", "VIEW door/3 full 1 9", "REMINDER door/3 -1",
	"BACKEND a 0 0 0 in_service 1", "CENSUS 0 -1", "CENSUS 0 1\nREMINDER door/3 1", "CLOCK 1 1",
	"PROVISION door/3 1 classes.count=x", "PROVISION door/3 1 word", "PROVISION door/3 1 discovery=carrier",
	"CENSUS 0 1\nBACKEND a 0 0 0 asleep 1",
}

// TestBadLines verifies that a malformed line or batch is an error, which names the line.
func TestBadLines(t *testing.T) {
	for _, l := range badLines {
		_, err := read("CLOCK 1 1\n" + l + "\nEOF_BATCH\n")
		if err == nil || !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("%q: error %v", l, err)
		}
	}
	for _, s := range []string{"EOF_BATCH\n", "CLOCK 1 1\n", "CLOCK x 1\nEOF_BATCH\n"} {
		if _, err := read(s); err == nil {
			t.Errorf("%q: no error", s)
		}
	}
}

// TestAppend verifies the line of each kind of action.
func TestAppend(t *testing.T) {
	for want, a := range map[string]balancer.Action{
		"HAND_OFF d 7 80000 b:1\n":      balancer.Dispatch{ID: 7, Endpoint: "b:1", Timeout: 80 * time.Millisecond},
		"TURN_AWAY d 7 5000\n":          balancer.Reject{ID: 7, RetryAfter: 5 * time.Millisecond},
		"SURRENDER d 7\n":               balancer.Fail{ID: 7},
		"WITHDRAW d 7 1\n":              balancer.CancelAttempt{ID: 7, Attempt: 1},
		"SAMPLE d b:1\n":                balancer.HealthCheck{Endpoint: "b:1"},
		"CHARGE_COUNTER d 9 2.5 1000\n": balancer.CounterAdd{Name: 9, Amount: 2.5, TTL: time.Millisecond},
		"REMIND d 3000 5\n":             balancer.SetTimer{At: 3 * time.Millisecond, Cookie: 5},
		"OBSERVE d 1\n":                 balancer.WatchEndpoints{},
		"PULL d\n":                      balancer.FetchEndpoints{},
		"JOURNAL_LINE d hi you\n":       balancer.LogLine{Text: "hi you"},
	} {
		if got := string(Append(nil, "d", a)); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// FuzzReader parses arbitrary input, which must not panic.
func FuzzReader(f *testing.F) {
	f.Add("CLOCK 1 1\n" + provision + "EOF_BATCH\n")
	for _, l := range badLines {
		f.Add("CLOCK 1 1\n" + l + "\nEOF_BATCH\n")
	}
	f.Fuzz(func(_ *testing.T, s string) { read(s) })
}
