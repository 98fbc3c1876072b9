package resourcelimit

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// allotmentModel is the expected state of an allotment.
type allotmentModel struct {
	guarantee int64
	held      int64
}

// TestSharedLimitKeepsGuarantees verifies, for any reservations and releases, that the total is never exceeded and that
// the unused part of each guarantee is available immediately. The guarantees fit the total and do not change.
func TestSharedLimitKeepsGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Int64Range(0, 100).Draw(t, "total")
		limit := NewSharedLimit(total)
		var allotments []*Allotment
		models := map[*Allotment]*allotmentModel{}
		left := total
		for range rapid.IntRange(1, 5).Draw(t, "allotments") {
			guarantee := rapid.Int64Range(0, left).Draw(t, "guarantee")
			left -= guarantee
			allotment := limit.Join("p", guarantee, nil)
			allotments = append(allotments, allotment)
			models[allotment] = &allotmentModel{guarantee: guarantee}
		}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			allotment := rapid.SampledFrom(allotments).Draw(t, "allotment")
			model := models[allotment]
			n := rapid.Int64Range(0, 30).Draw(t, "n")
			if rapid.Bool().Draw(t, "release") {
				n = min(n, model.held)
				allotment.Release(n)
				model.held -= n
				continue
			}
			if allotment.TryReserve(n) {
				model.held += n
			} else if model.held+n <= model.guarantee {
				t.Fatalf("a guarantee of %d does not cover %d more than %d", model.guarantee, n, model.held)
			}
			checkHeld(t, limit, total, models)
			checkGuarantees(t, allotments, models)
		}
	})
}

// checkHeld compares the held units with those of the models.
func checkHeld(t *rapid.T, limit *SharedLimit, total int64, models map[*Allotment]*allotmentModel) {
	t.Helper()
	sum := int64(0)
	for allotment, model := range models {
		sum += model.held
		if allotment.Held() != model.held {
			t.Fatalf("an allotment counts %d, want %d", allotment.Held(), model.held)
		}
	}
	if sum > total || limit.Held() != sum {
		t.Fatalf("%d held of %d, the limit counts %d", sum, total, limit.Held())
	}
}

// checkGuarantees reserves and releases the unused part of each guarantee.
func checkGuarantees(t *rapid.T, allotments []*Allotment, models map[*Allotment]*allotmentModel) {
	t.Helper()
	for _, allotment := range allotments {
		model := models[allotment]
		unused := model.guarantee - model.held
		if unused <= 0 {
			continue
		}
		if !allotment.TryReserve(unused) {
			t.Fatalf("the last %d of a guarantee of %d are lent", unused, model.guarantee)
		}
		allotment.Release(unused)
	}
}

// TestSharedLimitReclaimsFromTheLargestBorrower verifies that a failed reservation reclaims units from the largest
// borrower, unless the caller would itself have borrowed as much, and that released units and lowered guarantees become
// available.
func TestSharedLimitReclaimsFromTheLargestBorrower(t *testing.T) {
	limit := NewSharedLimit(10)
	reclaimed := map[string]int64{}
	join := func(name string, guarantee int64) *Allotment {
		return limit.Join(name, guarantee, func(n int64) { reclaimed[name] += n })
	}
	a := join("a", 2)
	b := join("b", 2)
	c := join("c", 0)
	if !a.TryReserve(8) || a.TryReserve(1) || !b.TryReserve(2) { // six borrowed; b's two are not available to a
		t.Fatal("a guarantee is lent, or unguaranteed units are not")
	}
	b.TryReserve(1)
	if reclaimed["a"] != 1 || reclaimed["b"] != 0 || reclaimed["c"] != 0 {
		t.Errorf("reclaimed %v", reclaimed)
	}
	a.Release(1)
	if !c.TryReserve(1) || a.Stats().Reclaims != 1 || b.Stats().Refused != 1 {
		t.Errorf("a released unit is not available, or not counted: %+v", a.Stats())
	}
	a.Leave() // what it holds counts until it is released
	a.Release(7)
	if !c.TryReserve(7) || c.TryReserve(1) || limit.Held() != 10 || limit.Len() != 2 {
		t.Errorf("%d held by %d", limit.Held(), limit.Len())
	}
	b.SetGuarantee(1)
	b.Release(2)
	if !c.TryReserve(1) || c.TryReserve(1) {
		t.Error("a lowered guarantee is not lent, or too much of it")
	}
}

// TestCheckGuarantees verifies that guarantees must not be negative or exceed the total.
func TestCheckGuarantees(t *testing.T) {
	tests := []struct {
		name       string
		total      int64
		guarantees []int64
		isValid    bool
	}{
		{name: "sum equals total", total: 10, guarantees: []int64{5, 5}, isValid: true},
		{name: "sum exceeds total", total: 10, guarantees: []int64{5, 6}},
		{name: "negative guarantee", total: 10, guarantees: []int64{-1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := CheckGuarantees(test.total, test.guarantees...)
			if (err == nil) != test.isValid {
				t.Fatalf("error %v, want valid %v", err, test.isValid)
			}
			var guaranteeError *GuaranteeError
			if err != nil && !errors.As(err, &guaranteeError) {
				t.Errorf("error %v is no GuaranteeError", err)
			}
		})
	}
}
