package quotashare

import (
	"math"
	"testing"
	"time"
)

// TestLendKeepsOwnDemand verifies that a lender keeps its own demand plus headroom, and that the loan ends on time.
func TestLendKeepsOwnDemand(t *testing.T) {
	var loans Loans
	own := Bucket{Rate: 10, Depth: 20}
	loan, ok := loans.Lend(time.Second, 1, own, time.Hour, 4)
	if !ok {
		t.Fatal("no loan was granted")
	}
	if want := (Bucket{Rate: 5, Depth: 10}); loan.Bucket != want {
		t.Errorf("granted %+v, want %+v with a demand of 4 plus headroom", loan.Bucket, want)
	}
	if want := time.Second + LenderLoanDuration; loan.Until != want {
		t.Errorf("loan ends at %v, want %v", loan.Until, want)
	}
	if got := loans.Lent(time.Second, NoGateway); got != loan.Bucket {
		t.Errorf("lent %+v, want %+v", got, loan.Bucket)
	}
	if got := loans.Lent(loan.Until, NoGateway); got != (Bucket{}) {
		t.Errorf("lent %+v after the loan has expired, want nothing", got)
	}
}

// TestLendRefuses verifies the cases in which nothing is lent.
func TestLendRefuses(t *testing.T) {
	own := Bucket{Rate: 10, Depth: 20}
	cases := []struct {
		name   string
		own    Bucket
		until  time.Duration
		demand float64
	}{
		{"no share", Bucket{}, time.Hour, 0},
		{"share ends before the loan", own, time.Second + LenderLoanDuration - 1, 0},
		{"own demand needs the whole share", own, time.Hour, 8},
		{"remainder is too small to lend", own, time.Hour, 7.9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var loans Loans
			if loan, ok := loans.Lend(time.Second, 1, c.own, c.until, c.demand); ok {
				t.Errorf("granted %+v, want nothing", loan)
			}
		})
	}
}

// TestLentCountsLargestLoanOfBorrower verifies that only the largest loan to a borrower counts as lent, since the
// borrower may use any one loan that has not expired.
func TestLentCountsLargestLoanOfBorrower(t *testing.T) {
	var loans Loans
	own := Bucket{Rate: 10, Depth: 20}
	loans.Lend(time.Second, 1, own, time.Hour, 4)
	loans.Lend(time.Second, 1, own, time.Hour, 0)
	if got := loans.Lent(time.Second, NoGateway); got != own {
		t.Errorf("lent %+v, want %+v", got, own)
	}
}

// TestBorrow verifies that loans that have expired, last too long or are not finite are ignored.
func TestBorrow(t *testing.T) {
	bucket := Bucket{Rate: 1, Depth: 2}
	now := time.Second
	cases := []struct {
		name   string
		bucket Bucket
		until  time.Duration
		want   Bucket
	}{
		{"a loan", bucket, now + LoanDuration, bucket},
		{"expired loan", bucket, now, Bucket{}},
		{"loan that lasts too long", bucket, now + LoanDuration + 1, Bucket{}},
		{"rate is not a number", Bucket{Rate: math.NaN(), Depth: 1}, now + LoanDuration, Bucket{}},
		{"an infinite loan", Bucket{Rate: 1, Depth: math.Inf(1)}, now + LoanDuration, Bucket{}},
		{"a negative loan", Bucket{Rate: -1, Depth: 1}, now + LoanDuration, Bucket{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var loans Loans
			loans.Borrow(now, 1, c.bucket, c.until)
			if got := loans.Borrowed(now); got != c.want {
				t.Errorf("borrowed %+v, want %+v", got, c.want)
			}
		})
	}
}

// TestFirstExpiry verifies that expired loans are found in the order of their expiry and dropped.
func TestFirstExpiry(t *testing.T) {
	var loans Loans
	now := time.Second
	loans.Borrow(now, 1, Bucket{Rate: 1}, now+300*time.Millisecond)
	loans.Borrow(now, 2, Bucket{Rate: 1}, now+200*time.Millisecond)
	if at := loans.FirstExpiry(now); at != 0 {
		t.Errorf("first expiry %v before any loan has expired, want 0", at)
	}
	later := now + LoanDuration
	for _, want := range []time.Duration{now + 200*time.Millisecond, now + 300*time.Millisecond, 0} {
		at := loans.FirstExpiry(later)
		if at != want {
			t.Errorf("first expiry %v, want %v", at, want)
		}
		loans.DropExpired(at)
	}
	if loans.HasAny() {
		t.Error("loans remain after all have expired")
	}
}
